package org.azurearch.admit;

/**
 * How many calls the backend server is given at once: its slots, or fewer while it sheds or slows.
 * Not thread-safe.
 *
 * <p>A server that is slow because it runs too much at once gains from a lower limit; one that is
 * slow for another reason only loses. So a lower limit is tried for a while, and taken back when
 * fewer calls were served with it.
 */
final class ConcurrencyLimit {
    private static final double SHED_FACTOR = 0.8;
    private static final double SLOW_FACTOR = 0.75;
    private static final double SLOW_RATIO = 3.0;
    private static final double SLOW_FLOOR_PART = 0.5;
    private static final double FAST_WEIGHT = 0.1;
    private static final double BASELINE_RISE = 1.0002;
    private static final double WORTHWHILE_RATIO = 0.95;
    private static final long SHED_PERIOD_NANOS = 100_000_000L;
    private static final long TRIAL_NANOS = 500_000_000L;
    private static final long PAUSE_NANOS = 30_000_000_000L;
    private static final long INITIAL_SERVICE_NANOS = 10_000_000L;

    private int mSlots;
    private double mLimit;
    private double mFastNanos = INITIAL_SERVICE_NANOS;
    private double mBaselineNanos;
    private long mShedAtNanos;
    private boolean mShed;
    private boolean mSlow;
    private long mSlowSinceNanos;
    private boolean mTrying;
    private long mTrialEndNanos;
    private double mRateBefore;
    private double mLimitBefore;
    private long mPauseEndNanos;
    private boolean mPausing;

    /** Sets the slots that the backend server has; the limit starts anew when they change. */
    void slots(int slots) {
        if (slots != mSlots) {
            mSlots = slots;
            mLimit = slots;
            mTrying = false;
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
        if (mShed && nowNanos - mShedAtNanos < SHED_PERIOD_NANOS) {
            return;
        }
        mShed = true;
        mShedAtNanos = nowNanos;
        mLimit = Math.max(1.0, mLimit * SHED_FACTOR);
    }

    /** Notes a call that was served, and how long that took. */
    void served(long serviceNanos, boolean atLimit, long nowNanos) {
        boolean first = mBaselineNanos == 0;
        mFastNanos = first ? serviceNanos : mFastNanos + FAST_WEIGHT * (serviceNanos - mFastNanos);
        mBaselineNanos = first ? mFastNanos : Math.min(mFastNanos, mBaselineNanos * BASELINE_RISE);
        if (mTrying) {
            endTrial(nowNanos);
        } else if (slowForLong(atLimit, nowNanos) && mayTry(nowNanos)) {
            beginTrial(nowNanos);
        } else if (mLimit < mSlots) {
            mLimit = Math.min(mSlots, mLimit + 1.0 / Math.max(1.0, mLimit));
        }
    }

    /** Says whether the server has been slow for long enough that the mean time has settled. */
    private boolean slowForLong(boolean atLimit, long nowNanos) {
        boolean slow = atLimit && mFastNanos > SLOW_RATIO * mBaselineNanos;
        if (slow && !mSlow) {
            mSlowSinceNanos = nowNanos;
        }
        mSlow = slow;
        return slow && nowNanos - mSlowSinceNanos >= TRIAL_NANOS;
    }

    private boolean mayTry(long nowNanos) {
        mPausing = mPausing && nowNanos - mPauseEndNanos < 0;
        return !mPausing && mLimit > mSlots * SLOW_FLOOR_PART;
    }

    private void beginTrial(long nowNanos) {
        mTrying = true;
        mSlow = false;
        mTrialEndNanos = nowNanos + TRIAL_NANOS;
        mRateBefore = rate();
        mLimitBefore = mLimit;
        mLimit = Math.max(1.0, Math.max(mSlots * SLOW_FLOOR_PART, mLimit * SLOW_FACTOR));
    }

    private void endTrial(long nowNanos) {
        if (nowNanos - mTrialEndNanos < 0) {
            return;
        }
        mTrying = false;
        if (rate() < WORTHWHILE_RATIO * mRateBefore) {
            mLimit = mLimitBefore;
            mPausing = true;
            mPauseEndNanos = nowNanos + PAUSE_NANOS;
        }
    }

    /** Returns the calls served in a nanosecond with all of the limit in use. */
    private double rate() {
        return current() / mFastNanos;
    }
}
