package org.azurearch.internal.call;

import java.util.concurrent.atomic.AtomicInteger;

/** Bounds the connections to one address over all event loops. */
final class ConnectionLimit {
    private final AtomicInteger mInUse = new AtomicInteger();
    private volatile int mMax;

    ConnectionLimit(int max) {
        mMax = max;
    }

    /** Changes the bound; connections above it are not closed. */
    void max(int max) {
        mMax = max;
    }

    /** Takes the right to one connection, if there is one. */
    boolean tryAcquire() {
        int inUse = mInUse.incrementAndGet();
        if (inUse > mMax) {
            mInUse.decrementAndGet();
            return false;
        }
        return true;
    }

    /** Gives back the right to a connection. */
    void release() {
        mInUse.decrementAndGet();
    }

    /** Returns the connections in use. */
    int inUse() {
        return mInUse.get();
    }
}
