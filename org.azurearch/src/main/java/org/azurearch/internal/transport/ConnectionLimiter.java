package org.azurearch.internal.transport;

import java.net.InetAddress;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the inbound connections, in total and by IP address. Loopback addresses are exempt from
 * the limit by address. Thread-safe.
 */
final class ConnectionLimiter {
    private final int mTotalLimit;
    private final int mAddressLimit;
    private final Map<InetAddress, Integer> mCountByAddress = new HashMap<>();
    private int mTotal;

    ConnectionLimiter(int totalLimit, int addressLimit) {
        mTotalLimit = totalLimit;
        mAddressLimit = addressLimit;
    }

    /** Counts a connection and returns true if it is within the limits; otherwise returns false. */
    synchronized boolean tryAcquire(InetAddress address) {
        int addressCount = mCountByAddress.getOrDefault(address, 0);
        boolean addressFull = !address.isLoopbackAddress() && addressCount >= mAddressLimit;
        if (addressFull || mTotal >= mTotalLimit) {
            return false;
        }
        mTotal++;
        mCountByAddress.put(address, addressCount + 1);
        return true;
    }

    /** Releases the count of a closed connection. */
    synchronized void release(InetAddress address) {
        mTotal--;
        mCountByAddress.computeIfPresent(address, (key, count) -> count > 1 ? count - 1 : null);
    }

    /** Returns the number of open connections. */
    synchronized int total() {
        return mTotal;
    }
}
