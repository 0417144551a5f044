package org.azurearch.standin.log;

/** Token bucket that holds appends to a rate, with a burst of one second. Not thread-safe. */
final class AppendRateLimiter {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final int mPerSecond;
    private double mTokens;
    private long mRefilledNanos;

    AppendRateLimiter(int perSecond, long nowNanos) {
        mPerSecond = perSecond;
        mTokens = perSecond;
        mRefilledNanos = nowNanos;
    }

    /** Takes a token; returns 0 when there was one, else the milliseconds until the next. */
    long tryAcquire(long nowNanos) {
        double earned = (nowNanos - mRefilledNanos) / NANOS_PER_SECOND * mPerSecond;
        mTokens = Math.min(mPerSecond, mTokens + earned);
        mRefilledNanos = nowNanos;
        if (mTokens >= 1) {
            mTokens -= 1;
            return 0;
        }
        return Math.max(1, (long) Math.ceil((1 - mTokens) / mPerSecond * MILLIS_PER_SECOND));
    }
}
