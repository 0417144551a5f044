package org.azurearch.sidecar.route;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Decides at the entry whether an attempt of a request is worth its cost, from what became of
 * recent requests of the service and rank.
 *
 * <p>Under overload, each request that every server refuses costs processor time of two nodes for
 * each attempt. If that time exceeds what the nodes have, answers of servers with free slots are
 * late as well, and the overload outlasts the demand that caused it.
 *
 * <p>A rank is refused at least as often as the more urgent ranks of its service. A part of the
 * requests always passes, so that a recovery is noticed at once. Confined to one thread.
 */
public final class EntryAdmission {
    /** Time constant of the decay of counts: a dozen requests of one entry node. */
    private static final double TIME_CONSTANT_NANOS = 1e9;

    /**
     * Requests that are sent for each one that is served. More than one keep servers busy though
     * refusals are spread unevenly over the entry nodes; 2 lost 0.02 of worth on saturated nodes.
     */
    private static final double SENT_PER_SERVED = 1.5;

    /** Refusals below this number mean nothing: they may be those of a single slow server. */
    private static final double MIN_REFUSALS = 3;

    /** Share of further attempts that must be accepted for all of them to be made. */
    private static final double WORTHWHILE_SHARE = 0.25;

    /** Share of attempts that are always made, as trials. */
    private static final double TRIAL_SHARE = 0.05;

    /** Further attempts, all accepted, that are assumed before any are observed. */
    private static final double ASSUMED_ATTEMPTS = 1;

    /**
     * Delay of messages up to which processors count as idle: a round trip between data centres
     * takes up to that. A refused attempt then costs nobody anything, and none is spared.
     */
    private static final double IDLE_MILLIS = 5;

    /** Delay of messages at which attempts are limited in full. */
    private static final double SATURATED_MILLIS = 25;

    /** Weight of a longer delay; a shorter one counts at once, as expired waits are no delay. */
    private static final double LONGER_DELAY_WEIGHT = 0.1;

    /** Weight of a new drain time in the moving average. */
    private static final double DRAIN_WEIGHT = 0.2;

    /** Largest factor by which demand above the capacity lengthens the drain time. */
    private static final double MAX_DEMAND_FACTOR = 3;

    /** Limit of the services with counts; callers of one VM use a few. */
    private static final int MAX_SERVICES = 256;

    private static final class Counts {
        private double mServed;
        private double mRefused;
        private double mFurther;
        private double mFurtherAccepted;
        private long mLastNanos;

        void decay(long nowNanos) {
            if (nowNanos - mLastNanos > 0) {
                double kept = Math.exp((mLastNanos - nowNanos) / TIME_CONSTANT_NANOS);
                mServed *= kept;
                mRefused *= kept;
                mFurther *= kept;
                mFurtherAccepted *= kept;
                mLastNanos = nowNanos;
            }
        }

        double refusalShare() {
            double sent = mServed + mRefused;
            double excess = mRefused - MIN_REFUSALS - (SENT_PER_SERVED - 1) * mServed;
            return sent > 0 ? Math.max(0, excess / sent) : 0;
        }

        double acceptedShare() {
            return (mFurtherAccepted + ASSUMED_ATTEMPTS) / (mFurther + ASSUMED_ATTEMPTS);
        }
    }

    private static final class Service {
        private final Counts[] mRanks = new Counts[EndpointLoad.RANK_COUNT];
        private double mDrainMillis;

        Service() {
            for (int i = 0; i < mRanks.length; i++) {
                mRanks[i] = new Counts();
            }
        }
    }

    private final Map<String, Service> mServices = new HashMap<>();
    private final RandomGenerator mRandom;
    private double mDelayMillis;

    /**
     * Creates an admission without observations, which admits everything.
     *
     * @param random decides which part of the requests passes
     */
    public EntryAdmission(RandomGenerator random) {
        mRandom = random;
    }

    /**
     * Returns whether an attempt is to be made.
     *
     * @param attempts the number of attempts of the request that were refused
     */
    public boolean admits(String service, int rank, int attempts, long nowNanos) {
        Service known = mServices.get(service);
        if (known == null) {
            return true;
        }
        double admitted = 1;
        for (int i = 0; i <= EndpointLoad.rankIndex(rank); i++) {
            Counts counts = known.mRanks[i];
            counts.decay(nowNanos);
            double share =
                    attempts == 0
                            ? 1 - counts.refusalShare()
                            : counts.acceptedShare() / WORTHWHILE_SHARE;
            admitted = Math.min(admitted, share);
        }
        double strictness =
                Math.min(
                        1,
                        Math.max(0, mDelayMillis - IDLE_MILLIS) / (SATURATED_MILLIS - IDLE_MILLIS));
        admitted = 1 - strictness * (1 - Math.min(1, admitted));
        return admitted >= 1 || mRandom.nextDouble() < Math.max(TRIAL_SHARE, admitted);
    }

    /**
     * Records by how much an attempt took longer than the work on it, if no request waited at the
     * server or if it refused. On saturated processors, this is how long messages wait.
     */
    public void observeDelay(double millis) {
        double weight = millis < mDelayMillis ? 1 : LONGER_DELAY_WEIGHT;
        mDelayMillis += weight * (millis - mDelayMillis);
    }

    /**
     * Records the outcome of an attempt.
     *
     * @param attempts the number of attempts of the request before this one
     * @param drainMillis how long the queue of the refusing server takes to drain; 0 if unknown
     */
    public void attemptEnded(
            String service, int rank, int attempts, boolean refused, double drainMillis, long now) {
        Counts counts = counts(service, rank, now);
        if (attempts > 0) {
            counts.mFurther++;
            counts.mFurtherAccepted += refused ? 0 : 1;
        }
        if (refused && drainMillis > 0) {
            Service known = service(service);
            known.mDrainMillis +=
                    (known.mDrainMillis == 0 ? 1 : DRAIN_WEIGHT)
                            * (drainMillis - known.mDrainMillis);
        }
    }

    /** Records that a request was answered, or refused with 503 by this node or by all servers. */
    public void requestEnded(String service, int rank, boolean refused, long nowNanos) {
        Counts counts = counts(service, rank, nowNanos);
        if (refused) {
            counts.mRefused++;
        } else {
            counts.mServed++;
        }
    }

    /**
     * Returns when a refused request has a chance, in milliseconds: the drain time of the servers
     * that refused, extended by the demand above what is served. The caller of this method spreads
     * it at random.
     */
    public double retryAfterMillis(String service, int rank, long nowNanos) {
        Counts counts = counts(service, rank, nowNanos);
        double demand = (counts.mServed + counts.mRefused) / Math.max(1, counts.mServed);
        return service(service).mDrainMillis * Math.min(MAX_DEMAND_FACTOR, Math.max(1, demand));
    }

    private Service service(String service) {
        if (mServices.size() >= MAX_SERVICES && !mServices.containsKey(service)) {
            mServices.clear();
        }
        return mServices.computeIfAbsent(service, name -> new Service());
    }

    private Counts counts(String service, int rank, long nowNanos) {
        Counts counts = service(service).mRanks[EndpointLoad.rankIndex(rank)];
        counts.decay(nowNanos);
        return counts;
    }
}
