package org.azurearch.sidecar.admit;

import java.util.TreeMap;

/**
 * The work that arrives for each rank, as a fraction of the backend server's capacity, over about
 * the last half second. Confined to one thread.
 */
final class RankLoad {
    /** Time constant of the decay: covers ten requests and is short against a caller's timeout. */
    private static final double TIME_CONSTANT_MILLIS = 500;

    private static final double NANOS_PER_MILLI = 1e6;

    private final TreeMap<Integer, Double> mWork = new TreeMap<>();
    private long mLastNanos;

    /** Adds work that arrives. */
    void addArrival(int rank, double workMillis, long nowNanos) {
        decay(nowNanos);
        mWork.merge(rank, workMillis, Double::sum);
    }

    /**
     * Returns the load of a rank and all more urgent ones, as a fraction of the backend server's
     * capacity; above 1 if they need more than that.
     */
    double loadUpTo(int rank, double slots, long nowNanos) {
        decay(nowNanos);
        double work = 0;
        for (double each : mWork.headMap(rank, true).values()) {
            work += each;
        }
        return work / (TIME_CONSTANT_MILLIS * slots);
    }

    private void decay(long nowNanos) {
        double millis = (nowNanos - mLastNanos) / NANOS_PER_MILLI;
        if (millis > 0) {
            mLastNanos = nowNanos;
            double kept = Math.exp(-millis / TIME_CONSTANT_MILLIS);
            mWork.replaceAll((rank, work) -> work * kept);
        }
    }
}
