package org.azurearch.admit;

/**
 * Adaptive limit of concurrent calls to the backend server: its slots, or fewer while it sheds
 * calls or is slow. Not thread-safe.
 *
 * <p>A server that is slow because of too many concurrent calls gains throughput from a lower
 * limit; one that is slow for another reason loses some. A lower limit is therefore applied for a
 * trial period, and reverted if throughput falls.
 */
final class ConcurrencyLimit {
    private static final double SHED_FACTOR = 0.8;
    private static final double TRIAL_FACTOR = 0.75;
    private static final double SLOW_RATIO = 3.0;
    private static final double TRIAL_FLOOR_FRACTION = 0.5;
    private static final double MEAN_WEIGHT = 0.1;
    private static final double BASELINE_GROWTH_PER_CALL = 1.0002;
    private static final double MIN_THROUGHPUT_RATIO = 0.95;
    private static final long SHED_PERIOD_NANOS = 100_000_000L;
    private static final long TRIAL_NANOS = 500_000_000L;
    private static final long TRIAL_PAUSE_NANOS = 30_000_000_000L;
    private static final long INITIAL_SERVICE_NANOS = 10_000_000L;

    private int mSlots;
    private double mLimit;
    private double mMeanServiceNanos = INITIAL_SERVICE_NANOS;
    private double mBaselineServiceNanos;
    private long mShedAtNanos;
    private boolean mShed;
    private boolean mSlow;
    private long mSlowSinceNanos;
    private boolean mTrialRunning;
    private long mTrialEndNanos;
    private double mThroughputBeforeTrial;
    private double mLimitBeforeTrial;
    private long mPauseEndNanos;
    private boolean mPausing;

    /** Sets the number of slots of the backend server; a change resets the limit to it. */
    void slots(int slots) {
        if (slots != mSlots) {
            mSlots = slots;
            mLimit = slots;
            mTrialRunning = false;
        }
    }

    /** Returns the number of calls that may be in flight concurrently. */
    int current() {
        return mSlots == 0 ? 0 : Math.max(1, (int) mLimit);
    }

    /** Returns the moving average of the service time, in nanoseconds. */
    long serviceNanos() {
        return (long) mMeanServiceNanos;
    }

    /** Lowers the limit after the backend server shed a call, at most once per shed period. */
    void recordShed(long nowNanos) {
        if (mShed && nowNanos - mShedAtNanos < SHED_PERIOD_NANOS) {
            return;
        }
        mShed = true;
        mShedAtNanos = nowNanos;
        mLimit = Math.max(1.0, mLimit * SHED_FACTOR);
    }

    /** Records the service time of a call and adjusts the limit. */
    void recordServed(long serviceNanos, boolean atLimit, long nowNanos) {
        boolean first = mBaselineServiceNanos == 0;
        mMeanServiceNanos =
                first
                        ? serviceNanos
                        : mMeanServiceNanos + MEAN_WEIGHT * (serviceNanos - mMeanServiceNanos);
        mBaselineServiceNanos =
                first
                        ? mMeanServiceNanos
                        : Math.min(
                                mMeanServiceNanos,
                                mBaselineServiceNanos * BASELINE_GROWTH_PER_CALL);
        if (mTrialRunning) {
            endTrial(nowNanos);
        } else if (persistentlySlow(atLimit, nowNanos) && mayBeginTrial(nowNanos)) {
            beginTrial(nowNanos);
        } else if (mLimit < mSlots) {
            mLimit = Math.min(mSlots, mLimit + 1.0 / Math.max(1.0, mLimit));
        }
    }

    /** Returns whether the server has been slow for long enough for the average to settle. */
    private boolean persistentlySlow(boolean atLimit, long nowNanos) {
        boolean slow = atLimit && mMeanServiceNanos > SLOW_RATIO * mBaselineServiceNanos;
        if (slow && !mSlow) {
            mSlowSinceNanos = nowNanos;
        }
        mSlow = slow;
        return slow && nowNanos - mSlowSinceNanos >= TRIAL_NANOS;
    }

    private boolean mayBeginTrial(long nowNanos) {
        mPausing = mPausing && nowNanos - mPauseEndNanos < 0;
        return !mPausing && mLimit > mSlots * TRIAL_FLOOR_FRACTION;
    }

    private void beginTrial(long nowNanos) {
        mTrialRunning = true;
        mSlow = false;
        mTrialEndNanos = nowNanos + TRIAL_NANOS;
        mThroughputBeforeTrial = callsPerNano();
        mLimitBeforeTrial = mLimit;
        mLimit = Math.max(1.0, Math.max(mSlots * TRIAL_FLOOR_FRACTION, mLimit * TRIAL_FACTOR));
    }

    private void endTrial(long nowNanos) {
        if (nowNanos - mTrialEndNanos < 0) {
            return;
        }
        mTrialRunning = false;
        if (callsPerNano() < MIN_THROUGHPUT_RATIO * mThroughputBeforeTrial) {
            mLimit = mLimitBeforeTrial;
            mPausing = true;
            mPauseEndNanos = nowNanos + TRIAL_PAUSE_NANOS;
        }
    }

    /** Returns the throughput with the whole limit in use, in calls per nanosecond. */
    private double callsPerNano() {
        return current() / mMeanServiceNanos;
    }
}
