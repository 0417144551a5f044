package org.azurearch.sidecar.account;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.azurearch.sidecar.FeatureSettings.QuotaBound;
import org.jspecify.annotations.Nullable;

/**
 * Hands out the tokens of all limited accounts at the rate that nodes delegate to it.
 *
 * <p>Tokens are filled only for the time for which a delegation is valid by its echoed time, and
 * what the bucket and the nodes hold together is limited, so that every window keeps to the quota.
 * A lost, repeated or late message can lose tokens but creates none.
 *
 * <p>Has no clock and no I/O. Confined to one thread.
 */
public final class QuotaCoordinator {
    /** Part of the capacity below which an account is scarce. */
    private static final double SCARCE = 0.15;

    /** Part of the capacity that is kept for requests of the most urgent rank. */
    private static final double RESERVED = 0.3;

    /**
     * Part of the capacity below which nodes ask for no token for a while, so that demand far above
     * the limit causes few messages.
     */
    private static final double EXHAUSTED = 0.1;

    /**
     * Time from the first delegation for which a small level does not show demand above the limit,
     * as the buckets begin empty.
     */
    private static final long FILLING_MILLIS = QuotaRules.LEASE_MILLIS;

    /** Delegated part that is none but for rounding. */
    private static final double MIN_FRACTION = 1e-9;

    /** Part of the capacity above which an account has plenty. */
    private static final double PLENTY = 0.5;

    /** Part of the capacity up to which nodes may hold tokens for the requests they expect. */
    private static final double MAX_HELD = 0.45;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final String mNode;
    private final long mEpoch;
    private final long mServesFromMillis;
    private final QuotaRules mRules;
    private final Map<String, QuotaDelegate> mDelegates = new HashMap<>();
    private final Map<String, Bucket> mBuckets = new HashMap<>();
    private AccountDirectory mAccounts = AccountDirectory.EMPTY;
    private long mAdvancedMillis;
    private long mNextExpiryMillis = Long.MAX_VALUE;
    private double mFraction;

    /** When the first of the present delegations began. */
    private long mDelegatedFromMillis;

    /** The integral of the delegated fraction over time, in milliseconds. */
    private double mDelegatedMillis;

    private boolean mClosed;

    /**
     * Creates a coordinator.
     *
     * @param node the name of this node
     * @param epoch identifies this run
     * @param bound the tolerance of the quotas
     * @param nowMillis the time, on the steady clock
     */
    public QuotaCoordinator(String node, long epoch, QuotaBound bound, long nowMillis) {
        mNode = node;
        mEpoch = epoch;
        mRules = new QuotaRules(bound);
        mServesFromMillis = nowMillis + QuotaRules.LEASE_MILLIS;
        mAdvancedMillis = nowMillis;
    }

    /** Replaces the accounts; lower limits apply at once. */
    public void update(AccountDirectory accounts, long nowMillis) {
        advance(nowMillis);
        mBuckets.values().forEach(this::refill);
        mAccounts = accounts;
        mBuckets.keySet().removeIf(name -> limited(name) == null);
        mBuckets.forEach((name, bucket) -> bucket.mAccount = limited(name));
        mBuckets.values().forEach(this::clamp);
        if (mFraction > 0) {
            createBuckets();
        }
    }

    /**
     * Creates the buckets of all limited accounts, which are filled from now on whether or not
     * requests arrive. Only coordinators have them.
     */
    private void createBuckets() {
        for (ClientAccount account : mAccounts.accounts()) {
            if (account.limited()) {
                bucket(account);
            }
        }
    }

    private Bucket bucket(ClientAccount account) {
        return mBuckets.computeIfAbsent(
                account.name(), name -> new Bucket(account, mDelegatedMillis));
    }

    /** Ends all delegations, as the node is stopping; nodes learn it with their next message. */
    public void close() {
        mClosed = true;
    }

    /** Returns the part of all rates that is delegated to this node. */
    public double fraction(long nowMillis) {
        advance(nowMillis);
        return effectiveFraction();
    }

    /** Returns the accounts for which tokens are or were handed out. */
    int bucketCount() {
        return mBuckets.size();
    }

    /** Answers a message; returns null if it is not to be answered. */
    public @Nullable QuotaReply receive(QuotaAsk ask, long nowMillis) {
        advance(nowMillis);
        if (nowMillis < mServesFromMillis) {
            return null; // delegations to an earlier run of this node may still be valid
        }
        QuotaDelegate delegate = delegate(ask, nowMillis);
        if (delegate == null || !delegate.accept(ask)) {
            return null;
        }
        boolean released = ask.release() || mClosed;
        renew(delegate, released ? null : ask);
        List<QuotaReply.Grant> grants = new ArrayList<>();
        for (QuotaAsk.Entry entry : ask.entries()) {
            ClientAccount account = limited(entry.account());
            if (account != null) {
                grants.add(answer(delegate, account, entry, ask, nowMillis));
            }
        }
        delegate.replied(nowMillis);
        mNextExpiryMillis = Math.min(mNextExpiryMillis, delegate.tokensEndMillis());
        if (released) {
            settle(delegate); // the sequence is kept, so that an older message is not accepted
        }
        return new QuotaReply(
                mNode, mEpoch, ask.sequence(), nowMillis, ask.sentMillis(), released, grants);
    }

    /** Returns what is known of the run of a node that sent a message; null for an earlier run. */
    private @Nullable QuotaDelegate delegate(QuotaAsk ask, long nowMillis) {
        QuotaDelegate known = mDelegates.get(ask.node());
        if (known != null && known.epoch() >= ask.epoch()) {
            return known.epoch() == ask.epoch() ? known : null;
        }
        remove(ask.node()); // the tokens of an earlier run ended with it
        QuotaDelegate delegate = new QuotaDelegate(ask.epoch(), nowMillis);
        mDelegates.put(ask.node(), delegate);
        return delegate;
    }

    /**
     * Counts the delegation of a message from now on, until one lease after the answer that the
     * node had received: the message was sent later than that.
     */
    private void renew(QuotaDelegate delegate, @Nullable QuotaAsk ask) {
        if (mFraction < MIN_FRACTION) {
            mDelegatedFromMillis = mAdvancedMillis;
        }
        mFraction -= delegate.fraction();
        boolean valid =
                ask != null
                        && ask.members() > 0
                        && ask.echoEpoch() == mEpoch
                        && ask.echoMillis() + QuotaRules.LEASE_MILLIS > mAdvancedMillis;
        delegate.delegate(
                valid && ask != null ? 1.0 / ask.members() : 0,
                valid && ask != null ? ask.echoMillis() + QuotaRules.LEASE_MILLIS : 0);
        if (mFraction <= 0 && delegate.fraction() > 0) {
            createBuckets();
        }
        mFraction += delegate.fraction();
        if (valid) {
            mNextExpiryMillis = Math.min(mNextExpiryMillis, delegate.leaseEndMillis());
        }
    }

    private QuotaReply.Grant answer(
            QuotaDelegate delegate,
            ClientAccount account,
            QuotaAsk.Entry entry,
            QuotaAsk ask,
            long nowMillis) {
        Bucket bucket = bucket(account);
        refill(bucket);
        int before = delegate.outstanding(account.name());
        int after = delegate.report(entry, ask.acknowledged());
        bucket.mOutstanding += after - before;
        bucket.mLevel += Math.min(entry.returned(), Math.max(0, before - after));
        clamp(bucket);
        boolean grants = !mClosed && !ask.release();
        if (entry.needed() > 0) {
            bucket.mUrgentMillis = nowMillis;
        }
        double reserve = reserve(account, bucket, nowMillis);
        int urgent = grants ? (int) Math.min(entry.needed(), bucket.mLevel) : 0;
        double spare = Math.max(0, bucket.mLevel - urgent - reserve);
        urgent += grants ? (int) Math.min(entry.others(), spare) : 0;
        bucket.sendUrgent(urgent, nowMillis);
        int held = grants ? heldTokens(bucket, entry, capacity(account)) : 0;
        bucket.mLevel -= held;
        bucket.mOutstanding += held;
        delegate.granted(account.name(), ask.sequence(), held);
        boolean scarce = bucket.mLevel < Math.max(1, Math.max(reserve, SCARCE * capacity(account)));
        return new QuotaReply.Grant(account.name(), urgent, held, scarce ? waitMillis(bucket) : 0);
    }

    private static int heldTokens(Bucket bucket, QuotaAsk.Entry entry, double capacity) {
        double level = bucket.mLevel;
        double limit = MAX_HELD * capacity - bucket.mOutstanding;
        int soon = (int) Math.max(0, Math.min(entry.soon(), Math.min(level, limit)));
        double spare = Math.min(level - PLENTY * capacity, limit) - soon;
        int ahead = (int) Math.max(0, Math.min(entry.ahead(), spare));
        return soon + ahead;
    }

    /** Returns how long until a node that asks again gets a token, in milliseconds; at least 1. */
    private int waitMillis(Bucket bucket) {
        ClientAccount account = bucket.mAccount;
        if (account == null || mFraction <= 0) {
            return (int) QuotaRules.LEASE_MILLIS;
        }
        double perSecond = account.ratePerSecond() * effectiveFraction();
        boolean filling = mAdvancedMillis - mDelegatedFromMillis < FILLING_MILLIS;
        double exhausted = filling ? 0 : EXHAUSTED * capacity(account);
        double missing = Math.max(1, exhausted) - bucket.mLevel;
        if (missing <= 0) {
            return QuotaRules.NO_WAIT_MILLIS;
        }
        double wait = missing / perSecond * MILLIS_PER_SECOND;
        return (int) Math.max(QuotaRules.NO_WAIT_MILLIS + 1, Math.min(wait, Integer.MAX_VALUE));
    }

    /** Moves time on: ends the delegations and forgets the tokens that are no longer valid. */
    private void advance(long nowMillis) {
        while (mNextExpiryMillis <= nowMillis) {
            accrue(mNextExpiryMillis);
            expire(mNextExpiryMillis);
        }
        accrue(nowMillis);
    }

    private void accrue(long untilMillis) {
        if (untilMillis > mAdvancedMillis) {
            mDelegatedMillis += effectiveFraction() * (untilMillis - mAdvancedMillis);
            mAdvancedMillis = untilMillis;
        }
    }

    private void expire(long atMillis) {
        mBuckets.values().forEach(this::refill);
        mFraction = 0;
        mNextExpiryMillis = Long.MAX_VALUE;
        Iterator<QuotaDelegate> all = mDelegates.values().iterator();
        while (all.hasNext()) {
            QuotaDelegate delegate = all.next();
            delegate.expire(atMillis);
            mFraction += delegate.fraction();
            if (delegate.fraction() > 0) {
                mNextExpiryMillis = Math.min(mNextExpiryMillis, delegate.leaseEndMillis());
            }
            if (delegate.fraction() == 0 && delegate.tokensEndMillis() <= atMillis) {
                settle(delegate);
                all.remove();
            } else {
                mNextExpiryMillis =
                        Math.min(
                                mNextExpiryMillis,
                                Math.max(atMillis + 1, delegate.tokensEndMillis()));
            }
        }
    }

    private void remove(String node) {
        QuotaDelegate delegate = mDelegates.remove(node);
        if (delegate != null) {
            mFraction -= delegate.fraction();
            settle(delegate);
        }
    }

    private void settle(QuotaDelegate delegate) {
        delegate.forEachOutstanding(
                (account, tokens) -> {
                    Bucket bucket = mBuckets.get(account);
                    if (bucket != null) {
                        bucket.mOutstanding -= tokens;
                    }
                });
        delegate.clear();
    }

    private void refill(Bucket bucket) {
        ClientAccount account = bucket.mAccount;
        if (account != null) {
            double millis = mDelegatedMillis - bucket.mFilledMillis;
            bucket.mFilledMillis = mDelegatedMillis;
            bucket.mLevel += account.ratePerSecond() * millis / MILLIS_PER_SECOND;
            clamp(bucket);
        }
    }

    private void clamp(Bucket bucket) {
        ClientAccount account = bucket.mAccount;
        bucket.expireUrgent(mAdvancedMillis);
        double stored = bucket.mOutstanding + bucket.mUrgent;
        double limit = account == null ? 0 : capacity(account) - stored;
        bucket.mLevel = Math.max(0, Math.min(bucket.mLevel, limit));
    }

    /** Returns the tokens that only requests of the most urgent rank get. */
    private double reserve(ClientAccount account, Bucket bucket, long nowMillis) {
        boolean kept = nowMillis - bucket.mUrgentMillis < QuotaRules.RESERVE_MILLIS;
        return kept ? RESERVED * capacity(account) : 0;
    }

    private double capacity(ClientAccount account) {
        return mRules.capacity(account) * effectiveFraction();
    }

    private double effectiveFraction() {
        return Math.max(0, Math.min(1, mFraction * QuotaRules.DEAD_NODES));
    }

    private @Nullable ClientAccount limited(String name) {
        ClientAccount account = mAccounts.findByName(name);
        return account != null && account.limited() ? account : null;
    }

    /** Tokens for waiting requests, and how long they are valid. */
    private record Urgent(long untilMillis, int tokens) {}

    /** The tokens of one account. */
    private static final class Bucket {
        private @Nullable ClientAccount mAccount;

        /** When a request of the most urgent rank was last asked for. */
        private long mUrgentMillis = Long.MIN_VALUE / 2;

        private double mLevel;
        private double mFilledMillis;

        /** Tokens that nodes may hold or that are under way to them. */
        private int mOutstanding;

        /** Tokens for waiting requests that may be under way. */
        private int mUrgent;

        private final Deque<Urgent> mUrgentSent = new ArrayDeque<>(0);

        Bucket(ClientAccount account, double filledMillis) {
            mAccount = account;
            mFilledMillis = filledMillis;
        }

        void sendUrgent(int tokens, long nowMillis) {
            if (tokens > 0) {
                mLevel -= tokens;
                mUrgent += tokens;
                mUrgentSent.addLast(new Urgent(nowMillis + QuotaRules.URGENT_MILLIS, tokens));
            }
        }

        void expireUrgent(long nowMillis) {
            while (!mUrgentSent.isEmpty() && mUrgentSent.peekFirst().untilMillis() <= nowMillis) {
                mUrgent -= mUrgentSent.removeFirst().tokens();
            }
        }
    }
}
