package org.azurearch.sidecar.admit;

import java.util.TreeMap;

/**
 * The work that arrives for each rank, as part of what the backend server can do, over about the
 * last half second. Confined to one thread.
 */
final class RankLoad {
    /** Memory of the measure: long enough to hold ten requests, short against a caller's time. */
    private static final double TIME_CONSTANT_MILLIS = 500;

    private static final double NANOS_PER_MILLI = 1e6;

    private final TreeMap<Integer, Double> mWork = new TreeMap<>();
    private long mLastNanos;

    /** Counts work that arrives. */
    void addArrival(int rank, double workMillis, long nowNanos) {
        decay(nowNanos);
        mWork.merge(rank, workMillis, Double::sum);
    }

    /**
     * Returns the part of the backend server's time that requests up to a rank ask for; above 1
     * where they ask for more than there is.
     */
    double loadUpTo(int rank, int slots, long nowNanos) {
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
