package org.azurearch.admit;

import org.azurearch.lib.TokenBucket;

/** Token bucket with a capacity of one second's calls. Not thread-safe. */
final class RateLimit {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long MILLIS_PER_SECOND = 1_000L;

    private int mCallsPerSecond;
    private final TokenBucket mTokens;
    private long mRefilledAtNanos;

    RateLimit(int callsPerSecond, long nowNanos) {
        mCallsPerSecond = callsPerSecond;
        mTokens = new TokenBucket(callsPerSecond);
        mRefilledAtNanos = nowNanos;
    }

    /** Takes one token; returns false if none is left. */
    boolean tryTake(int callsPerSecond, long nowNanos) {
        mCallsPerSecond = callsPerSecond;
        double filled = (nowNanos - mRefilledAtNanos) / NANOS_PER_SECOND * callsPerSecond;
        mTokens.add(filled, callsPerSecond);
        mRefilledAtNanos = nowNanos;
        return mTokens.tryTake();
    }

    /** Returns the time until the next token is available, in milliseconds. */
    long retryAfterMillis() {
        return (long)
                Math.ceil(
                        mTokens.missingTokens() * MILLIS_PER_SECOND / Math.max(1, mCallsPerSecond));
    }
}
