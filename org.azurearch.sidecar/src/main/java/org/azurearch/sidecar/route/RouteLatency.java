package org.azurearch.sidecar.route;

import org.HdrHistogram.HistogramIterationValue;
import org.HdrHistogram.IntCountsHistogram;

/**
 * The distribution of a route's latency over the last few hundred attempts. Attempts that were
 * cancelled count with the time that they would probably have taken: without them, hedging would
 * remove the slowest attempts from the distribution and so cause more hedging. Confined to one
 * thread.
 */
public final class RouteLatency {
    /** Attempts below which no quantile is given. */
    static final int MIN_ATTEMPTS = 20;

    /** Attempts after which the older half of the distribution is dropped. */
    private static final int ROTATE_ATTEMPTS = 256;

    /** Age at which it is dropped on routes with few requests: one minute. */
    private static final long ROTATE_NANOS = 60_000_000_000L;

    private static final long MAX_MILLIS = 65_536;

    /** Precision of 1%; a histogram takes 6 KB. */
    private static final int DIGITS = 2;

    private static final double PERCENT = 100;

    private IntCountsHistogram mCurrent = newHistogram();
    private IntCountsHistogram mPrevious = newHistogram();
    private final IntCountsHistogram mAll = newHistogram();
    private long mRotatedNanos;
    private boolean mBegun;

    /** Adds an attempt that was answered. */
    public void answered(double millis, long nowNanos) {
        rotate(nowNanos);
        long value = Math.max(0, Math.min(MAX_MILLIS, Math.round(millis)));
        mCurrent.recordValue(value);
        mAll.recordValue(value);
    }

    /** Adds an attempt that was cancelled after some time. */
    public void cancelled(double millis, long nowNanos) {
        answered(millis + remainingMillis(millis), nowNanos);
    }

    /** Returns whether enough attempts were seen to give a quantile. */
    public boolean known() {
        return mAll.getTotalCount() >= MIN_ATTEMPTS;
    }

    /** Returns the time within which a fraction of the attempts is answered. */
    public double quantileMillis(double quantile) {
        return mAll.getValueAtPercentile(quantile * PERCENT);
    }

    /**
     * Returns how much longer an attempt is expected to take that has no answer yet: the mean over
     * the attempts that took longer. An attempt that has taken longer than all others is expected
     * to take as long again.
     */
    public double remainingMillis(double elapsedMillis) {
        double sum = 0;
        long count = 0;
        for (HistogramIterationValue bucket : mAll.recordedValues()) {
            double value = mAll.medianEquivalentValue(bucket.getValueIteratedTo());
            if (value > elapsedMillis) {
                sum += (value - elapsedMillis) * bucket.getCountAddedInThisIterationStep();
                count += bucket.getCountAddedInThisIterationStep();
            }
        }
        return count == 0 ? elapsedMillis : sum / count;
    }

    private void rotate(long nowNanos) {
        if (!mBegun) {
            mBegun = true;
            mRotatedNanos = nowNanos;
        }
        boolean full = mCurrent.getTotalCount() >= ROTATE_ATTEMPTS;
        boolean old =
                mCurrent.getTotalCount() >= MIN_ATTEMPTS && nowNanos - mRotatedNanos > ROTATE_NANOS;
        if (!full && !old) {
            return;
        }
        IntCountsHistogram oldest = mPrevious;
        mPrevious = mCurrent;
        mCurrent = oldest;
        mCurrent.reset();
        mAll.reset();
        mAll.add(mPrevious);
        mRotatedNanos = nowNanos;
    }

    private static IntCountsHistogram newHistogram() {
        return new IntCountsHistogram(MAX_MILLIS, DIGITS);
    }
}
