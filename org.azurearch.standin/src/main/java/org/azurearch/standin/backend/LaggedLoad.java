package org.azurearch.standin.backend;

import java.time.Duration;

/** A load value that is refreshed only when it has reached its maximum age. Not thread-safe. */
final class LaggedLoad {
    private final long mLagNanos;
    private long mSampledNanos;
    private int mReported;
    private boolean mHasValue;

    LaggedLoad(Duration lag) {
        mLagNanos = lag.toNanos();
    }

    int read(int actual, long nowNanos) {
        if (!mHasValue || nowNanos - mSampledNanos >= mLagNanos) {
            mReported = actual;
            mSampledNanos = nowNanos;
            mHasValue = true;
        }
        return mReported;
    }
}
