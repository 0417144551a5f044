package org.azurearch.sidecar.account;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.azurearch.sidecar.FeatureSettings.QuotaBound;
import org.jspecify.annotations.Nullable;

/**
 * The tokens of this node for the requests of limited accounts.
 *
 * <p>The node owns its base share of each rate. It delegates it to one coordinator at a time under
 * a lease and asks it for tokens ahead of demand. After the lease has ended without a renewal, it
 * spends the base share itself. Tokens are valid for one lease from the message that asked for
 * them, by the clock of this node, so that a paused node or a late message cannot bring back old
 * ones.
 *
 * <p>Has no clock and no I/O. Confined to one thread.
 */
public final class AccountQuota {
    /** The decision about a request. */
    public enum Decision {
        /** It has a token and may run. */
        RUN,
        /** It may wait for the next answer. */
        WAIT,
        /** The account is at its limit. */
        REFUSE,
        /** No token has been granted yet, although the account may be below its limit. */
        UNKNOWN
    }

    /** Interval of messages while an account is scarce or its tokens run short. */
    private static final long ASK_MILLIS = 150;

    /** Demand for this time is asked ahead of it; longer than {@link #ASK_MILLIS}. */
    private static final double SOON_MILLIS = 200;

    /** Demand for this time is held in reserve if the account has plenty: about one lease. */
    private static final double AHEAD_MILLIS = 1_500;

    /** Tokens for less than this time of demand bring about the next message early. */
    private static final double LOW_MILLIS = 70;

    /** Time within which a token can be given back; a full server refuses within it. */
    private static final long REFUND_MILLIS = 100;

    /** Longest wait for the next message if the account is scarce; others are refused at once. */
    private static final long MAX_SCARCE_WAIT_MILLIS = 30;

    /** A coordinator that has not answered for this time gets no further delegation. */
    private static final long SILENT_MILLIS = 1_000;

    /** Every so many messages report all accounts, in case one that named a change was lost. */
    private static final int FULL_REPORT = 8;

    private final String mNode;
    private final long mEpoch;
    private final BaseShare mBase;
    private final Map<String, HeldTokens> mHeld = new HashMap<>();
    private AccountDirectory mAccounts = AccountDirectory.EMPTY;
    private @Nullable String mCoordinator;
    private String mPreferred = "";
    private int mHolders;
    private boolean mDelegating;
    private boolean mReleasing;
    private long mDelegateFromMillis;
    private long mLeaseEndMillis;
    private long mTokensEndMillis;
    private long mCoordinatorEpoch;
    private long mCoordinatorMillis;
    private long mAnsweredMillis;
    private long mAskedMillis;
    private long mSequence;
    private long mAcknowledged = -1;
    private boolean mShort;
    private boolean mSilent;

    /** Until when a coordinator may not have been delegated all shares of the rates. */
    private long mSettledMillis;

    /**
     * Creates the tokens of a node, which has none yet.
     *
     * @param node the name of the node
     * @param epoch identifies this run; a later run has a higher one
     * @param bound the tolerance of the quotas
     * @param random for the times at which tokens of small base shares become available
     * @param nowMillis the time, on the steady clock
     */
    public AccountQuota(
            String node, long epoch, QuotaBound bound, SplittableRandom random, long nowMillis) {
        mNode = node;
        mEpoch = epoch;
        mBase = new BaseShare(random);
        mDelegateFromMillis = nowMillis + QuotaRules.LEASE_MILLIS;
        mAskedMillis = nowMillis - QuotaRules.RENEW_MILLIS;
        mSettledMillis = mDelegateFromMillis + QuotaRules.LEASE_MILLIS;
    }

    /** Replaces the accounts. */
    public void update(AccountDirectory accounts) {
        mAccounts = accounts;
        mHeld.keySet().removeIf(name -> limited(name) == null);
        mBase.retain(accounts);
    }

    /**
     * Sets what is known of the mesh.
     *
     * @param preferred the node that should coordinate, which may be this one
     * @param holders the number of nodes that hold a base share; 0 if this node holds none
     */
    public void observeMembers(String preferred, int holders) {
        mPreferred = preferred;
        mHolders = holders;
        mBase.setHolders(Math.max(1, holders));
    }

    /** Returns whether requests of an account are limited. */
    public boolean limits(@Nullable ClientAccount account) {
        return account != null && limited(account.name()) != null;
    }

    /** Returns the coordinator to send messages to, or null if there is none. */
    public @Nullable String coordinator() {
        return mCoordinator;
    }

    /** Returns whether this node spends its base share itself. */
    public boolean usesBaseShare(long nowMillis) {
        return mHolders > 0 && !mDelegating && nowMillis >= mDelegateFromMillis;
    }

    /**
     * Decides about a request that arrives; counts it towards the demand of its account.
     *
     * @param urgent whether it is of the most urgent rank; others get none of the last tokens
     */
    public Decision acquire(String account, boolean urgent, long nowMillis) {
        HeldTokens held = held(account);
        held.arrived(urgent, nowMillis);
        Decision decision = retry(account, urgent, nowMillis);
        mShort |= held.low(LOW_MILLIS, nowMillis);
        return decision;
    }

    /** Decides about a request that has arrived before. */
    public Decision retry(String account, boolean urgent, long nowMillis) {
        dropExpired(nowMillis);
        HeldTokens held = held(account);
        if (held.take(urgent, nowMillis)) {
            return Decision.RUN;
        }
        ClientAccount limited = limited(account);
        if (usesBaseShare(nowMillis)) {
            boolean has = limited == null || mBase.tryTake(limited, nowMillis);
            boolean asks = mCoordinator != null && !held.scarce(nowMillis);
            return has ? Decision.RUN : asks ? Decision.WAIT : Decision.REFUSE;
        }
        if (held.exhausted(urgent, nowMillis + MAX_SCARCE_WAIT_MILLIS)) {
            return Decision.REFUSE;
        }
        return mCoordinator == null ? Decision.UNKNOWN : Decision.WAIT;
    }

    /** Takes a token that is held; returns whether there was one. */
    public boolean tryTake(String account, long nowMillis) {
        dropExpired(nowMillis);
        return held(account).take(true, nowMillis);
    }

    /** Returns whether the newest answer about an account said that it has none to spare. */
    public boolean scarceLately(String account) {
        return held(account).scarceLately();
    }

    /** Returns whether the last coordinator was given up because it did not answer. */
    public boolean silent() {
        return mSilent;
    }

    /**
     * Gives back the token of a request that did not run, unless it took the token too long ago: a
     * window must not get the tokens of an earlier one. Returns whether it is given back.
     */
    public boolean refund(String account, long takenMillis, long nowMillis) {
        dropExpired(nowMillis);
        boolean recent = nowMillis - takenMillis <= REFUND_MILLIS;
        boolean given = recent && limited(account) != null && nowMillis < mTokensEndMillis;
        if (given) {
            held(account).refund();
        }
        return given;
    }

    /**
     * Returns how long until a token for one more refused request is expected. While coordinators
     * change, what this node was granted so far says nothing about it: tokens flow again once all
     * nodes delegate.
     */
    public long retryAfterMillis(String account, long nowMillis) {
        if (nowMillis < mSettledMillis) {
            return Math.max(QuotaRules.RENEW_MILLIS, mSettledMillis - nowMillis);
        }
        ClientAccount limited = limited(account);
        double base = limited == null || mHolders == 0 ? 0 : limited.ratePerSecond() / mHolders;
        return held(account).refused(base, nowMillis);
    }

    /**
     * The requests of an account that wait for tokens.
     *
     * @param urgent the number of those of the most urgent rank
     * @param others the number of all others
     */
    public record Waiting(int urgent, int others) {
        private static final Waiting NONE = new Waiting(0, 0);

        /** Returns this with one more request. */
        public Waiting plus(boolean isUrgent) {
            return isUrgent ? new Waiting(urgent + 1, others) : new Waiting(urgent, others + 1);
        }

        /** Returns the requests that wait with a further one of an account. */
        public static void add(Map<String, Waiting> waiting, String account, boolean isUrgent) {
            waiting.put(account, waiting.getOrDefault(account, NONE).plus(isUrgent));
        }
    }

    /**
     * Returns the next message, or null if none is due.
     *
     * @param waiting the requests that wait, by account
     */
    public @Nullable QuotaAsk poll(Map<String, Waiting> waiting, long nowMillis) {
        chooseCoordinator(nowMillis);
        if (mCoordinator == null || !due(waiting, nowMillis)) {
            return null;
        }
        return ask(waiting, !mCoordinator.equals(mPreferred), nowMillis);
    }

    /**
     * Takes over an answer; returns whether tokens may have come. If so, those that wait are to be
     * decided again at once, and then {@link #settle} called.
     */
    public boolean receive(QuotaReply reply, long nowMillis) {
        boolean current =
                reply.coordinator().equals(mCoordinator)
                        && reply.sequence() > mAcknowledged
                        && reply.sequence() <= mSequence;
        if (!current || reply.echoMillis() + QuotaRules.LEASE_MILLIS <= nowMillis) {
            return false;
        }
        if (mCoordinatorEpoch != 0 && mCoordinatorEpoch != reply.epoch()) {
            abandon(nowMillis);
            return false;
        }
        mAcknowledged = reply.sequence();
        mAnsweredMillis = nowMillis;
        if (reply.released()) {
            released(nowMillis);
            return true;
        }
        mCoordinatorEpoch = reply.epoch();
        mCoordinatorMillis = reply.sentMillis();
        dropExpired(nowMillis);
        mTokensEndMillis = reply.echoMillis() + QuotaRules.LEASE_MILLIS;
        for (QuotaReply.Grant grant : reply.grants()) {
            if (limited(grant.account()) != null) {
                boolean fresh = nowMillis - reply.echoMillis() < QuotaRules.URGENT_MILLIS;
                held(grant.account())
                        .granted(
                                fresh ? grant.urgent() : 0,
                                grant.held(),
                                grant.waitMillis(),
                                nowMillis);
            }
        }
        return true;
    }

    /** Drops the tokens for waiting requests that were not used. */
    public void settle() {
        mHeld.values().forEach(HeldTokens::dropUrgent);
    }

    /** Drops all tokens, as the node was paused and its clock may have stood still. */
    public void paused(long nowMillis) {
        mHeld.values().forEach(HeldTokens::drop);
        mTokensEndMillis = nowMillis;
        mLeaseEndMillis = Math.max(mLeaseEndMillis, nowMillis + QuotaRules.LEASE_MILLIS);
        abandon(nowMillis);
    }

    private void chooseCoordinator(long nowMillis) {
        mSilent = mCoordinator != null && nowMillis - mAnsweredMillis > SILENT_MILLIS;
        if (mSilent) {
            abandon(nowMillis);
            return;
        }
        if (mCoordinator == null && nowMillis >= mLeaseEndMillis && !mPreferred.isEmpty()) {
            mCoordinator = mPreferred;
            mCoordinatorEpoch = 0;
            mAnsweredMillis = nowMillis;
            mAcknowledged = mSequence;
            mReleasing = false;
        }
    }

    /** Sends no more to the coordinator; the base share is free once the lease has ended. */
    private void abandon(long nowMillis) {
        if (mDelegating) {
            mSettledMillis = nowMillis + 2 * QuotaRules.LEASE_MILLIS;
        }
        mCoordinator = null;
        mDelegating = false;
        mDelegateFromMillis = Math.max(mDelegateFromMillis, mLeaseEndMillis);
    }

    private void released(long nowMillis) {
        mHeld.values().forEach(HeldTokens::drop);
        mTokensEndMillis = nowMillis;
        if (mDelegating) {
            mDelegateFromMillis = nowMillis;
            mSettledMillis = nowMillis + QuotaRules.LEASE_MILLIS;
        }
        mLeaseEndMillis = nowMillis;
        mDelegating = false;
        mCoordinator = null;
    }

    private boolean due(Map<String, Waiting> waiting, long nowMillis) {
        long sinceMillis = nowMillis - mAskedMillis;
        boolean answered = mAcknowledged == mSequence;
        if (sinceMillis >= QuotaRules.RENEW_MILLIS) {
            return true;
        }
        boolean handshake = mCoordinatorEpoch == 0 || canStartDelegating(nowMillis);
        return answered
                && (handshake
                        || urgent(waiting, nowMillis)
                        || (sinceMillis >= ASK_MILLIS && (mShort || reportsDue(nowMillis))));
    }

    private boolean urgent(Map<String, Waiting> waiting, long nowMillis) {
        for (Map.Entry<String, Waiting> requests : waiting.entrySet()) {
            boolean urgent = requests.getValue().urgent() > 0;
            if (!held(requests.getKey()).exhausted(urgent, nowMillis)) {
                return true;
            }
        }
        return false;
    }

    private boolean canStartDelegating(long nowMillis) {
        return mHolders > 0 && !mDelegating && !mReleasing && nowMillis >= mDelegateFromMillis;
    }

    /** Spent tokens of scarce accounts are reported soon, as they count against the bucket. */
    private boolean reportsDue(long nowMillis) {
        for (HeldTokens held : mHeld.values()) {
            if (held.reportsSoon(AHEAD_MILLIS, nowMillis)) {
                return true;
            }
        }
        return false;
    }

    private QuotaAsk ask(Map<String, Waiting> waiting, boolean release, long nowMillis) {
        dropExpired(nowMillis);
        mAskedMillis = nowMillis;
        mShort = false;
        mSequence++;
        boolean knows = mCoordinatorEpoch != 0;
        mReleasing |= release;
        boolean delegates =
                mHolders > 0 && knows && !mReleasing && nowMillis >= mDelegateFromMillis;
        if (mReleasing) {
            mHeld.values().forEach(HeldTokens::drop);
        }
        if (delegates) {
            mSettledMillis = mDelegating ? mSettledMillis : nowMillis + QuotaRules.LEASE_MILLIS;
            mDelegating = true;
            mBase.clear();
            mLeaseEndMillis = nowMillis + QuotaRules.LEASE_MILLIS;
        }
        return new QuotaAsk(
                mNode,
                mEpoch,
                mSequence,
                mAcknowledged,
                nowMillis,
                mCoordinatorEpoch,
                mCoordinatorMillis,
                delegates ? mHolders : 0,
                mReleasing,
                mReleasing ? List.of() : entries(waiting, nowMillis));
    }

    private List<QuotaAsk.Entry> entries(Map<String, Waiting> waiting, long nowMillis) {
        waiting.keySet().forEach(this::held);
        boolean full = mSequence % FULL_REPORT == 0;
        List<QuotaAsk.Entry> entries = new ArrayList<>();
        Iterator<Map.Entry<String, HeldTokens>> all = mHeld.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<String, HeldTokens> next = all.next();
            HeldTokens held = next.getValue();
            Waiting requests = waiting.getOrDefault(next.getKey(), Waiting.NONE);
            QuotaAsk.Entry entry =
                    held.entry(
                            next.getKey(),
                            requests.urgent(),
                            requests.others(),
                            SOON_MILLIS,
                            AHEAD_MILLIS,
                            full,
                            nowMillis);
            if (entry != null) {
                entries.add(entry);
            } else if (held.idle(nowMillis)) {
                all.remove();
            }
        }
        return entries;
    }

    private void dropExpired(long nowMillis) {
        if (nowMillis >= mTokensEndMillis && mTokensEndMillis != 0) {
            mHeld.values().forEach(HeldTokens::drop);
            mTokensEndMillis = 0;
        }
    }

    private HeldTokens held(String account) {
        return mHeld.computeIfAbsent(account, name -> new HeldTokens());
    }

    private @Nullable ClientAccount limited(String name) {
        ClientAccount account = mAccounts.findByName(name);
        return account != null && account.limited() ? account : null;
    }
}
