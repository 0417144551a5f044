package org.azurearch.admit;

/**
 * How many calls the backend server is given at once: its slots, or fewer while it sheds or slows.
 * Rises by steps and falls by a factor. Not thread-safe.
 */
final class ConcurrencyLimit {
    private static final double SHED_FACTOR = 0.8;
    private static final double SLOW_FACTOR = 0.95;
    private static final double SLOW_RATIO = 3.0;
    private static final double SLOW_FLOOR_PART = 0.5;
    private static final double FAST_WEIGHT = 0.1;
    private static final double BASELINE_WEIGHT = 0.01;
    private static final long DECREASE_PERIOD_NANOS = 100_000_000L;
    private static final long INITIAL_SERVICE_NANOS = 10_000_000L;

    private int mSlots;
    private double mLimit;
    private double mFastNanos = INITIAL_SERVICE_NANOS;
    private double mBaselineNanos;
    private long mDecreasedAtNanos;
    private boolean mDecreased;

    /** Sets the slots that the backend server has; the limit starts anew when they change. */
    void slots(int slots) {
        if (slots != mSlots) {
            mSlots = slots;
            mLimit = slots;
        }
    }

    /** Returns the calls that may be in flight at once. */
    int current() {
        return mSlots == 0 ? 0 : Math.max(1, (int) mLimit);
    }

    /** Returns the recent mean time of service, in nanoseconds. */
    long serviceNanos() {
        return (long) mFastNanos;
    }

    /** Notes that the backend server shed a call. */
    void shed(long nowNanos) {
        decrease(SHED_FACTOR, 1.0, nowNanos);
    }

    /** Notes a call that was served, and how long that took. */
    void served(long serviceNanos, boolean atLimit, long nowNanos) {
        mBaselineNanos = mBaselineNanos == 0 ? serviceNanos : mBaselineNanos;
        mFastNanos += FAST_WEIGHT * (serviceNanos - mFastNanos);
        mBaselineNanos += BASELINE_WEIGHT * (serviceNanos - mBaselineNanos);
        if (atLimit && mFastNanos > SLOW_RATIO * mBaselineNanos) {
            decrease(SLOW_FACTOR, mSlots * SLOW_FLOOR_PART, nowNanos);
        } else if (mLimit < mSlots) {
            mLimit = Math.min(mSlots, mLimit + 1.0 / Math.max(1.0, mLimit));
        }
    }

    private void decrease(double factor, double floor, long nowNanos) {
        if (mDecreased && nowNanos - mDecreasedAtNanos < DECREASE_PERIOD_NANOS) {
            return;
        }
        mDecreased = true;
        mDecreasedAtNanos = nowNanos;
        mLimit = Math.max(Math.min(floor, mLimit), mLimit * factor);
        mLimit = Math.max(1.0, mLimit);
    }
}
