package org.azurearch.admit;

import org.azurearch.lib.TokenBucket;

/** Token bucket that holds one second's worth of calls. Not thread-safe. */
final class RateLimit {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long MILLIS_PER_SECOND = 1_000L;

    private int mPerSecond;
    private final TokenBucket mTokens;
    private long mFilledAtNanos;

    RateLimit(int perSecond, long nowNanos) {
        mPerSecond = perSecond;
        mTokens = new TokenBucket(perSecond);
        mFilledAtNanos = nowNanos;
    }

    /** Takes one token, if there is one. */
    boolean tryTake(int perSecond, long nowNanos) {
        mPerSecond = perSecond;
        double filled = (nowNanos - mFilledAtNanos) / NANOS_PER_SECOND * perSecond;
        mTokens.add(filled, perSecond);
        mFilledAtNanos = nowNanos;
        return mTokens.tryTake();
    }

    /** Returns when the next token will be there. */
    long retryAfterMillis() {
        return (long)
                Math.ceil(mTokens.missingTokens() * MILLIS_PER_SECOND / Math.max(1, mPerSecond));
    }
}
