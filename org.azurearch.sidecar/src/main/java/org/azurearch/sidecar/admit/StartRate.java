package org.azurearch.sidecar.admit;

import org.azurearch.lib.TokenBucket;

/**
 * Limits how many requests a second are started at a backend server that asks for it. Confined to
 * one thread.
 */
public final class StartRate {
    /** Starts allowed at once after a pause, as a part of those of a second. */
    private static final double BURST_SECONDS = 0.25;

    /**
     * Lowest rate that is applied, in starts a second, as the end of a limit shows only in the
     * answer to a request.
     */
    public static final double MIN_PER_SECOND = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final TokenBucket mTokens = new TokenBucket(1);
    private double mPerSecond;
    private long mLastNanos;
    private boolean mLimited;

    /**
     * Sets the limit.
     *
     * @param perSecond the number of starts a second; negative for no limit
     */
    public void limit(double perSecond, long nowNanos) {
        if (mLimited) {
            refill(nowNanos);
        }
        mLastNanos = nowNanos;
        mLimited = perSecond >= 0;
        mPerSecond = Math.max(MIN_PER_SECOND, perSecond);
    }

    /** Returns whether there is a limit. */
    public boolean limited() {
        return mLimited;
    }

    /** Returns the number of starts a second; meaningful if there is a limit. */
    public double perSecond() {
        return mPerSecond;
    }

    /** Counts a start if one is allowed now; returns whether it is. */
    public boolean tryStart(long nowNanos) {
        if (!mLimited) {
            return true;
        }
        refill(nowNanos);
        return mTokens.tryTake();
    }

    /**
     * Returns how long it takes until a number of starts are allowed, in milliseconds.
     *
     * @param starts the number of starts, at least 1
     */
    public double millisUntil(int starts, long nowNanos) {
        if (!mLimited) {
            return 0;
        }
        refill(nowNanos);
        double missing = starts - 1 + mTokens.missingTokens();
        return Math.max(0, missing) / mPerSecond * MILLIS_PER_SECOND;
    }

    private void refill(long nowNanos) {
        double added = (nowNanos - mLastNanos) / NANOS_PER_SECOND * mPerSecond;
        mLastNanos = nowNanos;
        mTokens.add(added, Math.max(1, mPerSecond * BURST_SECONDS));
    }
}
