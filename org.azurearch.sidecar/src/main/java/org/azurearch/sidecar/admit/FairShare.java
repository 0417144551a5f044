package org.azurearch.sidecar.admit;

import java.util.HashMap;
import java.util.Map;

/**
 * Judges which requests of one rank are beyond the fair share of their client account, by
 * start-time fair queueing: the virtual time of the rank moves on by the work that starts, divided
 * by the weights of the active accounts; that of an account moves on by its own work, divided by
 * its own weight. An account whose virtual time is too far ahead has had more than its share.
 *
 * <p>Requests without an account are never beyond their share: most are calls of backend servers,
 * whose callers hold a slot meanwhile. A deployment without accounts pays nothing. Confined to one
 * thread.
 */
final class FairShare {
    /**
     * Requests that an account may be ahead of its share: one backend server gets few requests of a
     * small account, which therefore arrive unevenly.
     */
    private static final double MIN_AHEAD = 2.5;

    /**
     * Standard deviations of the requests in {@link #MEMORY_MILLIS} by which an account may be
     * ahead besides, so that chance alone rarely puts one beyond its share.
     */
    private static final double DEVIATIONS = 1.5;

    /** Multiple of the allowed lead up to which an account is charged. */
    private static final double MAX_CHARGED = 2;

    /** Time constant with which a lead is forgotten after a surge. */
    private static final double FORGET_MILLIS = 20_000;

    /** Time whose requests decide how far chance may put an account ahead. */
    private static final double MEMORY_MILLIS = 5_000;

    private static final double NANOS_PER_MILLI = 1e6;

    /** Accounts that sent nothing for this time are not active and are forgotten. */
    private static final long ACTIVE_NANOS = 30_000_000_000L;

    /** Interval at which inactive accounts are removed. */
    private static final long CLEAN_NANOS = 1_000_000_000L;

    /** How far the virtual time of an account is ahead. */
    private static final class Account {
        private double mAhead;
        private double mSeenVirtual;
        private double mWeight;
        private long mSeenNanos;
    }

    private final Map<String, Account> mAccounts = new HashMap<>();
    private double mVirtual;
    private double mWeights;

    /** The virtual time that has passed lately, over about {@link #MEMORY_MILLIS}. */
    private double mRecent;

    private long mRecentNanos;
    private long mCleanedNanos;

    /** Returns whether a request that arrives is beyond the share of its account. */
    boolean beyond(QueuedRequest request, long nowNanos) {
        if (request.account().isEmpty()) {
            return false;
        }
        clean(nowNanos);
        Account account = mAccounts.computeIfAbsent(request.account(), name -> new Account());
        mWeights += request.accountWeight() - account.mWeight;
        account.mWeight = request.accountWeight();
        decay(account, nowNanos);
        return account.mAhead > allowedLead(request);
    }

    /** Charges a request that runs or waits. */
    void admitted(QueuedRequest request) {
        Account account = mAccounts.get(request.account());
        if (account != null) {
            double most = Math.max(account.mAhead, MAX_CHARGED * allowedLead(request));
            account.mAhead = Math.min(most, account.mAhead + cost(request));
        }
    }

    /** Takes back the charge of a request that waited and will not run. */
    void dropped(QueuedRequest request) {
        Account account = mAccounts.get(request.account());
        if (account != null) {
            account.mAhead = Math.max(0, account.mAhead - cost(request));
        }
    }

    /** Moves the virtual time on by the work of a request that starts. */
    void started(QueuedRequest request) {
        if (!request.account().isEmpty() && mWeights > 0) {
            double step = request.workMillis() / mWeights;
            mVirtual += step;
            mRecent += step;
        }
    }

    /** Returns the number of active accounts. */
    int size() {
        return mAccounts.size();
    }

    /** Returns the lead up to which a request is within the share of its account. */
    private double allowedLead(QueuedRequest request) {
        double expected = mRecent / cost(request);
        return (MIN_AHEAD + DEVIATIONS * Math.sqrt(expected)) * cost(request);
    }

    private void decay(Account account, long nowNanos) {
        double kept = Math.exp((account.mSeenNanos - nowNanos) / NANOS_PER_MILLI / FORGET_MILLIS);
        double caughtUp = mVirtual - account.mSeenVirtual;
        account.mAhead =
                account.mSeenNanos == 0 ? 0 : Math.max(0, account.mAhead - caughtUp) * kept;
        account.mSeenVirtual = mVirtual;
        account.mSeenNanos = nowNanos;
        mRecent *= Math.exp((mRecentNanos - nowNanos) / NANOS_PER_MILLI / MEMORY_MILLIS);
        mRecentNanos = nowNanos;
    }

    private static double cost(QueuedRequest request) {
        return request.workMillis() / request.accountWeight();
    }

    private void clean(long nowNanos) {
        if (nowNanos - mCleanedNanos < CLEAN_NANOS) {
            return;
        }
        mCleanedNanos = nowNanos;
        mAccounts.values().removeIf(account -> nowNanos - account.mSeenNanos > ACTIVE_NANOS);
        mWeights = 0;
        for (Account account : mAccounts.values()) {
            mWeights += account.mWeight;
        }
    }
}
