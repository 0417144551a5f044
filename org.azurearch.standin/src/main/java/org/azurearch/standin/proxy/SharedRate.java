package org.azurearch.standin.proxy;

import java.util.concurrent.TimeUnit;

/** A bandwidth that several connections share, each byte after those that came before. */
public final class SharedRate {
    private final double mNanosPerByte;
    private long mFreeNanos = System.nanoTime();

    /**
     * Creates a rate of which nothing is in use.
     *
     * @param bytesPerSecond the bandwidth; positive
     */
    public SharedRate(long bytesPerSecond) {
        if (bytesPerSecond <= 0) {
            throw new IllegalArgumentException("no bandwidth: " + bytesPerSecond);
        }
        mNanosPerByte = (double) TimeUnit.SECONDS.toNanos(1) / bytesPerSecond;
    }

    /** Returns the {@link System#nanoTime()} at which some bytes have passed. */
    synchronized long reserve(int bytes) {
        long now = System.nanoTime();
        long start = mFreeNanos - now > 0 ? mFreeNanos : now;
        mFreeNanos = start + (long) (bytes * mNanosPerByte);
        return mFreeNanos;
    }
}
