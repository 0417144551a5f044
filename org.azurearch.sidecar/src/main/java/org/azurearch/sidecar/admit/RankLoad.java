package org.azurearch.sidecar.admit;

import java.util.TreeMap;

/**
 * The work that arrives for each rank, as a fraction of the capacity of what does it, over a recent
 * time. Confined to one thread.
 */
final class RankLoad {
    private static final double NANOS_PER_MILLI = 1e6;

    private final double mTimeConstantMillis;
    private final TreeMap<Integer, Double> mWork = new TreeMap<>();
    private long mLastNanos;

    /**
     * Creates the load of something unused.
     *
     * @param timeConstantMillis the time constant with which work is forgotten
     */
    RankLoad(double timeConstantMillis) {
        mTimeConstantMillis = timeConstantMillis;
    }

    /** Adds work that arrives. */
    void addArrival(int rank, double workMillis, long nowNanos) {
        decay(nowNanos);
        mWork.merge(rank, workMillis, Double::sum);
    }

    /**
     * Returns the load of a rank and all more urgent ones, as a fraction of a number of slots;
     * above 1 if they need more than that.
     */
    double loadUpTo(int rank, double slots, long nowNanos) {
        decay(nowNanos);
        double work = 0;
        for (double each : mWork.headMap(rank, true).values()) {
            work += each;
        }
        return work / (mTimeConstantMillis * slots);
    }

    private void decay(long nowNanos) {
        double millis = (nowNanos - mLastNanos) / NANOS_PER_MILLI;
        if (millis > 0) {
            mLastNanos = nowNanos;
            double kept = Math.exp(-millis / mTimeConstantMillis);
            mWork.replaceAll((rank, work) -> work * kept);
        }
    }
}
