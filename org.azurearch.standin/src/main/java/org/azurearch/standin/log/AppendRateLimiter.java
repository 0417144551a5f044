package org.azurearch.standin.log;

/** Token bucket that limits the append rate, with a burst of one second. Not thread-safe. */
final class AppendRateLimiter {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final int mTokensPerSecond;
    private double mTokens;
    private long mRefilledNanos;

    AppendRateLimiter(int perSecond, long nowNanos) {
        mTokensPerSecond = perSecond;
        mTokens = perSecond;
        mRefilledNanos = nowNanos;
    }

    /**
     * Returns 0 if a token was acquired, otherwise the milliseconds until the next one is
     * available.
     */
    long tryAcquire(long nowNanos) {
        double refill = (nowNanos - mRefilledNanos) / NANOS_PER_SECOND * mTokensPerSecond;
        mTokens = Math.min(mTokensPerSecond, mTokens + refill);
        mRefilledNanos = nowNanos;
        if (mTokens >= 1) {
            mTokens -= 1;
            return 0;
        }
        return Math.max(1, (long) Math.ceil((1 - mTokens) / mTokensPerSecond * MILLIS_PER_SECOND));
    }
}
