package org.azurearch.sidecar.internal.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.azurearch.sidecar.FeatureSettings.QuotaBound;
import org.azurearch.sidecar.account.AccountDirectory;
import org.azurearch.sidecar.account.AccountQuota;
import org.azurearch.sidecar.account.ClientAccount;
import org.azurearch.sidecar.account.QuotaAsk;
import org.azurearch.sidecar.account.QuotaCoordinator;
import org.azurearch.sidecar.account.QuotaReply;
import org.jspecify.annotations.Nullable;

/**
 * The accounts of one partition: the tokens that this node holds, the requests that wait for one,
 * and the coordinator's part, should this node be it. Confined to one thread.
 */
final class QuotaPartition {
    /** Longest wait of a request whose account was scarce lately. */
    private static final long SCARCE_WAIT_MILLIS = 50;

    /**
     * Longest wait of any other request, whose answer is late. A repeated packet on a link between
     * data centres takes about 200 ms.
     */
    private static final long MAX_WAIT_MILLIS = 300;

    /** Sends messages, and learns what is decided. */
    interface Owner {
        /** Sends a message to the coordinator of a partition. */
        void send(int partition, String coordinator, QuotaAsk ask);

        /** The coordinator of a partition has not answered for too long. */
        void silent(String coordinator);

        /** A request may run. */
        void allowed(Waiting request);

        /** A request waits for an answer. */
        void waits(Waiting request);

        /**
         * A request may not run.
         *
         * @param retryMillis when a token is expected, or null if the account may be below its
         *     limit, as no coordinator answered
         */
        void refused(Waiting request, @Nullable Long retryMillis);
    }

    /**
     * A request that has no token yet.
     *
     * @param account its account
     * @param urgent whether it is of the most urgent rank
     * @param untilMillis until when it waits
     * @param listener receives the decision
     */
    record Waiting(
            ClientAccount account,
            boolean urgent,
            long untilMillis,
            QuotaService.Listener listener) {}

    private final int mNumber;
    private final String mNode;
    private final QuotaBound mBound;
    private final Owner mOwner;
    private final AccountQuota mQuota;
    private QuotaCoordinator mCoordinator;
    private AccountDirectory mAccounts = AccountDirectory.EMPTY;
    private List<Waiting> mWaiting = new ArrayList<>();

    /**
     * Creates a partition without accounts.
     *
     * @param number its number, from 0
     * @param node the name of the node
     * @param epoch identifies this run; a later run has a higher one
     * @param bound the tolerance of the quotas
     * @param owner sends messages, and learns what is decided
     * @param nowMillis the time, on the steady clock
     */
    QuotaPartition(
            int number, String node, long epoch, QuotaBound bound, Owner owner, long nowMillis) {
        mNumber = number;
        mNode = node;
        mBound = bound;
        mOwner = owner;
        mQuota = new AccountQuota(node, epoch, bound, new SplittableRandom(), nowMillis);
        mCoordinator = new QuotaCoordinator(node, epoch, bound, nowMillis);
    }

    void update(AccountDirectory accounts, long nowMillis) {
        mAccounts = accounts;
        mQuota.update(accounts);
        mCoordinator.update(accounts, nowMillis);
    }

    void observeMembers(String preferred, int holders) {
        mQuota.observeMembers(preferred, holders);
    }

    /** Ends the delegations to this node, as it is stopping. */
    void close() {
        mCoordinator.close();
    }

    /** Drops tokens and delegations, as the VM was suspended. */
    void suspended(long epoch, long nowMillis) {
        mQuota.paused(nowMillis);
        mCoordinator = new QuotaCoordinator(mNode, epoch, mBound, nowMillis);
        mCoordinator.update(mAccounts, nowMillis);
    }

    boolean limits(ClientAccount account) {
        return mQuota.limits(account);
    }

    /** Decides about a request, perhaps later. */
    void acquire(
            ClientAccount account,
            boolean urgent,
            long maxWaitMillis,
            QuotaService.Listener listener,
            long nowMillis) {
        AccountQuota.Decision decision = mQuota.acquire(account.name(), urgent, nowMillis);
        long limit = mQuota.scarceLately(account.name()) ? SCARCE_WAIT_MILLIS : MAX_WAIT_MILLIS;
        long until = nowMillis + Math.min(limit, maxWaitMillis);
        Waiting request = new Waiting(account, urgent, until, listener);
        if (decide(request, decision, nowMillis)) {
            mOwner.waits(request);
        }
        poll(nowMillis);
    }

    boolean tryTake(String account, long nowMillis) {
        return mQuota.tryTake(account, nowMillis);
    }

    boolean refund(String account, long takenMillis, long nowMillis) {
        return mQuota.refund(account, takenMillis, nowMillis);
    }

    /** Answers a message as a coordinator; returns null if it is not to be answered. */
    @Nullable QuotaReply answer(QuotaAsk ask, long nowMillis) {
        return mCoordinator.receive(ask, nowMillis);
    }

    /** Takes over an answer of the coordinator. */
    void replied(QuotaReply reply, long nowMillis) {
        if (mQuota.receive(reply, nowMillis)) {
            serveWaiting(nowMillis);
            mQuota.settle();
        }
    }

    /** Sends the next message if one is due. */
    void poll(long nowMillis) {
        Map<String, AccountQuota.Waiting> waiting = new HashMap<>();
        for (Waiting request : mWaiting) {
            AccountQuota.Waiting.add(waiting, request.account().name(), request.urgent());
        }
        String before = mQuota.coordinator();
        QuotaAsk ask = mQuota.poll(waiting, nowMillis);
        String to = mQuota.coordinator();
        if (before != null && mQuota.silent()) {
            mOwner.silent(before);
        }
        if (ask == null || to == null) {
            return;
        }
        if (to.equals(mNode)) {
            QuotaReply reply = answer(ask, nowMillis);
            if (reply != null) {
                replied(reply, nowMillis);
            }
        } else {
            mOwner.send(mNumber, to, ask);
        }
    }

    /** Decides again about the requests that wait; returns whether some still do. */
    boolean serveWaiting(long nowMillis) {
        List<Waiting> waiting = mWaiting;
        waiting.sort(Comparator.comparing(Waiting::urgent, Comparator.reverseOrder()));
        mWaiting = new ArrayList<>();
        for (Waiting request : waiting) {
            String account = request.account().name();
            decide(request, mQuota.retry(account, request.urgent(), nowMillis), nowMillis);
        }
        return !mWaiting.isEmpty();
    }

    boolean hasWaiting() {
        return !mWaiting.isEmpty();
    }

    /** Returns the coordinator, or an empty string if there is none. */
    String coordinator() {
        String coordinator = mQuota.coordinator();
        return coordinator == null ? "" : coordinator;
    }

    /** Returns whether this node spends its base shares itself. */
    boolean usesBaseShare(long nowMillis) {
        return mQuota.usesBaseShare(nowMillis);
    }

    /** Returns the part of the rates that is delegated to this node. */
    double fraction(long nowMillis) {
        return mCoordinator.fraction(nowMillis);
    }

    /** Carries out a decision; returns whether the request waits for a further one. */
    private boolean decide(Waiting request, AccountQuota.Decision decision, long nowMillis) {
        boolean waits =
                decision == AccountQuota.Decision.WAIT || decision == AccountQuota.Decision.UNKNOWN;
        String account = request.account().name();
        if (waits && nowMillis < request.untilMillis()) {
            mWaiting.add(request);
            return true;
        }
        if (decision == AccountQuota.Decision.RUN) {
            mOwner.allowed(request);
        } else if (decision == AccountQuota.Decision.REFUSE || mQuota.scarceLately(account)) {
            mOwner.refused(request, mQuota.retryAfterMillis(account, nowMillis));
        } else {
            mOwner.refused(request, null);
        }
        return false;
    }
}
