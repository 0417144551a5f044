package org.azurearch.sidecar.route;

import org.jspecify.annotations.Nullable;

/**
 * Decides when a request whose first attempt is slow is sent to a second backend server, whether it
 * is, and why not. It answers the load of single slow attempts: a few per cent of requests that
 * take many times as long, and servers that have become slow. It must not add to the load of a
 * service that is slow as a whole.
 */
public final class HedgePolicy {
    /** The decision; all but {@link #SEND} withhold the request. */
    public enum Decision {
        /** The request is sent to the second server. */
        SEND(false),
        /** The request may run only once. */
        RUNS_ONCE(false),
        /** It was sent as often as its route allows. */
        ATTEMPTS(false),
        /** A backend server crashed while a request like it was in flight. */
        SUSPECT(false),
        /** The node is stopping. */
        STOPPING(false),
        /** Its deadline comes before the second answer. */
        DEADLINE(false),
        /** Answers that callers have not read yet fill memory. */
        MEMORY(true),
        /** No other backend server accepts it. */
        NO_SERVER(true),
        /** The service or the second server is nearly full. */
        NEAR_FULL(true),
        /** The answer is too large for the links between data centres. */
        DISTANCE(true),
        /** The first attempt is expected to be answered sooner. */
        NO_GAIN(true),
        /** The limit of hedged requests is reached. */
        LIMIT(true),
        /** The retry budget that all nodes share is used up. */
        RETRY_BUDGET(true);

        private final boolean mTemporary;

        Decision(boolean temporary) {
            mTemporary = temporary;
        }

        /** Returns whether a later decision on the same request may differ. */
        public boolean temporary() {
            return mTemporary;
        }
    }

    /**
     * A request whose first attempt has no answer yet.
     *
     * @param idempotent whether it may run more than once
     * @param attemptsLeft whether its route allows a further attempt
     * @param suspect whether a backend server crashed under a request like it, or it is on trial
     * @param stopping whether this node is stopping
     * @param memoryFree whether there is memory for a further answer
     * @param deadlineMillis the time until its deadline
     * @param remainingMillis the expected time until the first attempt is answered
     * @param waitingBehind the number of answers on the caller's connection that wait for this one
     */
    public record Pending(
            boolean idempotent,
            boolean attemptsLeft,
            boolean suspect,
            boolean stopping,
            boolean memoryFree,
            double deadlineMillis,
            double remainingMillis,
            int waitingBehind) {}

    /**
     * The best other backend server for it.
     *
     * @param expectedMillis the expected time until it answers
     * @param waitMillis the part of that before the request starts
     * @param occupancy its running and waiting requests as a fraction of its slots, with this one
     * @param serviceOccupancy that fraction over all servers of the service
     * @param local whether it is in this node's data centre
     * @param distanceMillis the cost of another data centre, converted to time
     * @param linkExpensive whether the answer is too large for the links between data centres
     */
    public record Second(
            double expectedMillis,
            double waitMillis,
            double occupancy,
            double serviceOccupancy,
            boolean local,
            double distanceMillis,
            boolean linkExpensive) {}

    /** Occupancy above which a server counts as full: the request would have to wait for a slot. */
    static final double SERVER_NEAR_FULL = 1;

    /**
     * Occupancy from which a service counts as nearly full: its servers share the load, so that
     * requests wait later than at one server. With four servers of 13 slots, one request in three
     * waits at 0.9.
     */
    static final double SERVICE_NEAR_FULL = 0.9;

    /** The shortest delay of a server that is faster than others, as a fraction of the quantile. */
    private static final double MIN_SERVER_FACTOR = 0.5;

    /** The delay before the latency of a route is known, as a fraction of its target. */
    private static final double INITIAL_TARGET_FRACTION = 0.8;

    /** The lowest quantile that answers waiting behind a request lower its quantile to. */
    private static final double MIN_QUANTILE = 0.5;

    /** By how much each answer that waits behind a request adds to the worth of its own time. */
    private static final double BEHIND_WEIGHT = 0.25;

    private static final double MAX_BEHIND_FACTOR = 2;

    /**
     * Time until a withheld request is decided on again, as a fraction of the time since it was
     * sent; the expected times change about as fast, and few decisions reach any deadline.
     */
    private static final double RECHECK_FRACTION = 0.25;

    private static final long MIN_RECHECK_MILLIS = 10;

    private final double mQuantile;

    /**
     * Creates a policy.
     *
     * @param quantile the quantile of a route's latency after which its requests are hedged
     */
    public HedgePolicy(double quantile) {
        mQuantile = quantile;
    }

    /**
     * Returns how long the first attempt is given before the request is hedged, in milliseconds.
     *
     * @param latency the latency of the route
     * @param targetMillis the target of the route
     * @param serverFactor how long the server of the first attempt works on a request, relative to
     *     the mean over the servers; a faster server is given less time, a slower one not more
     * @param waitingBehind the number of answers that wait for this one; all of them are late with
     *     it, so that a larger fraction of such requests is hedged
     */
    public long delayMillis(
            RouteLatency latency, long targetMillis, double serverFactor, int waitingBehind) {
        if (!latency.known()) {
            return (long) (targetMillis * INITIAL_TARGET_FRACTION);
        }
        double lateFraction = (1 - mQuantile) * (1 + waitingBehind);
        double quantile = Math.min(mQuantile, Math.max(MIN_QUANTILE, 1 - lateFraction));
        double factor = Math.max(MIN_SERVER_FACTOR, Math.min(1, serverFactor));
        return (long) Math.ceil(latency.quantileMillis(quantile) * factor);
    }

    /**
     * Returns the expected time until the first attempt is answered, in milliseconds.
     *
     * @param serverFactor how long its server works on a request, relative to the mean
     */
    public static double remainingMillis(
            RouteLatency latency, double elapsedMillis, double serverFactor) {
        double factor = serverFactor > 0 ? serverFactor : 1;
        return latency.remainingMillis(elapsedMillis / factor) * factor;
    }

    /** Decides on a request without regard to the limit and to other servers. */
    public static Decision decide(Pending pending) {
        if (!pending.idempotent()) {
            return Decision.RUNS_ONCE;
        }
        if (pending.stopping()) {
            return Decision.STOPPING;
        }
        if (pending.suspect()) {
            return Decision.SUSPECT;
        }
        if (!pending.attemptsLeft()) {
            return Decision.ATTEMPTS;
        }
        if (pending.deadlineMillis() <= 0) {
            return Decision.DEADLINE;
        }
        return pending.memoryFree() ? Decision.SEND : Decision.MEMORY;
    }

    /** Decides on a request for which there is another backend server, or none if null. */
    public static Decision decide(Pending pending, @Nullable Second second) {
        Decision first = decide(pending);
        if (first != Decision.SEND) {
            return first;
        }
        if (second == null) {
            return Decision.NO_SERVER;
        }
        if (second.expectedMillis() > pending.deadlineMillis()) {
            return Decision.DEADLINE;
        }
        if (!second.local() && second.linkExpensive()) {
            return Decision.DISTANCE;
        }
        if (nearFull(pending, second)) {
            return Decision.NEAR_FULL;
        }
        double behind = Math.min(MAX_BEHIND_FACTOR, 1 + BEHIND_WEIGHT * pending.waitingBehind());
        double cost = second.expectedMillis() + second.distanceMillis();
        return cost < pending.remainingMillis() * behind ? Decision.SEND : Decision.NO_GAIN;
    }

    /** Returns the time until a request that was withheld is decided on again. */
    public static long recheckMillis(double elapsedMillis) {
        return Math.max(MIN_RECHECK_MILLIS, (long) (elapsedMillis * RECHECK_FRACTION));
    }

    private static boolean nearFull(Pending pending, Second second) {
        return second.occupancy() > SERVER_NEAR_FULL
                || second.serviceOccupancy() > SERVICE_NEAR_FULL
                || second.waitMillis() >= pending.remainingMillis();
    }
}
