package org.azurearch.internal.transport;

import java.net.InetAddress;
import java.util.HashMap;
import java.util.Map;

/** Counts the connections taken, in total and by IP address. */
final class ConnectionLimiter {
    private final int mTotalLimit;
    private final int mAddressLimit;
    private final Map<InetAddress, Integer> mCountByAddress = new HashMap<>();
    private int mTotal;

    ConnectionLimiter(int totalLimit, int addressLimit) {
        mTotalLimit = totalLimit;
        mAddressLimit = addressLimit;
    }

    /** Counts a connection if it is within the limits. */
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

    /** Ends the count of a connection. */
    synchronized void release(InetAddress address) {
        mTotal--;
        mCountByAddress.computeIfPresent(address, (key, count) -> count > 1 ? count - 1 : null);
    }

    /** Returns how many connections are open. */
    synchronized int total() {
        return mTotal;
    }
}
