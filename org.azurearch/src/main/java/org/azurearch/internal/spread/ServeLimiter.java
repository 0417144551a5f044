package org.azurearch.internal.spread;

/**
 * Token bucket that limits the bytes a node serves to peers, so that many nodes restarting at once
 * do not take up all of its capacity. Thread-safe.
 */
final class ServeLimiter {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final long mBytesPerMilli;
    private final long mBurstBytes;
    private double mAvailable;
    private long mLastNanos;

    ServeLimiter(long bytesPerMilli, long burstBytes, long nowNanos) {
        mBytesPerMilli = bytesPerMilli;
        mBurstBytes = burstBytes;
        mAvailable = burstBytes;
        mLastNanos = nowNanos;
    }

    /**
     * Acquires bytes if any are available; the balance may become negative.
     *
     * @return 0 if acquired, else the time to wait before the next attempt, in milliseconds
     */
    synchronized long tryAcquire(int bytes, long nowNanos) {
        double refill = (double) (nowNanos - mLastNanos) * mBytesPerMilli / NANOS_PER_MILLI;
        mAvailable = Math.min(mBurstBytes, mAvailable + Math.max(0, refill));
        mLastNanos = Math.max(mLastNanos, nowNanos);
        if (mAvailable <= 0) {
            return 1 + (long) (-mAvailable / mBytesPerMilli);
        }
        mAvailable -= bytes;
        return 0;
    }
}
