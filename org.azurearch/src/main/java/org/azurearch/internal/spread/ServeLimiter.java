package org.azurearch.internal.spread;

/**
 * Bounds the bytes that a node serves to peers, so that a returning herd cannot take all of it. A
 * bucket of bytes that refills at a steady rate. Thread-safe.
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
     * Takes bytes when there are any left; the last of them may go below zero.
     *
     * @return 0 when taken, else how long to wait before the next attempt, in milliseconds
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
