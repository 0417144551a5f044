package org.azurearch.internal.call;

import java.util.concurrent.atomic.AtomicInteger;

/** Limits the number of connections across all event loops. Thread-safe. */
final class ConnectionLimit {
    private final AtomicInteger mInUse = new AtomicInteger();
    private volatile int mMax;

    ConnectionLimit(int max) {
        mMax = max;
    }

    /** Changes the limit; connections above it are not closed. */
    void max(int max) {
        mMax = max;
    }

    /** Reserves a connection; returns false if the limit is reached. */
    boolean tryAcquire() {
        int inUse = mInUse.incrementAndGet();
        if (inUse > mMax) {
            mInUse.decrementAndGet();
            return false;
        }
        return true;
    }

    /** Releases a reserved connection. */
    void release() {
        mInUse.decrementAndGet();
    }

    /** Returns the number of reserved connections. */
    int inUse() {
        return mInUse.get();
    }
}
