package org.azurearch.internal.transport;

import java.net.InetAddress;
import java.util.HashMap;
import java.util.Map;

/** Counts the connections taken, in total and by IP address. */
final class ConnectionLimits {
    private final int mTotalLimit;
    private final int mAddressLimit;
    private final Map<InetAddress, Integer> mByAddress = new HashMap<>();
    private int mTotal;

    ConnectionLimits(int totalLimit, int addressLimit) {
        mTotalLimit = totalLimit;
        mAddressLimit = addressLimit;
    }

    /** Counts a connection if it is within the limits. */
    synchronized boolean tryOpen(InetAddress address) {
        int ofAddress = mByAddress.getOrDefault(address, 0);
        boolean full = !address.isLoopbackAddress() && ofAddress >= mAddressLimit;
        if (full || mTotal >= mTotalLimit) {
            return false;
        }
        mTotal++;
        mByAddress.put(address, ofAddress + 1);
        return true;
    }

    /** Ends the count of a connection. */
    synchronized void close(InetAddress address) {
        mTotal--;
        mByAddress.computeIfPresent(address, (key, count) -> count > 1 ? count - 1 : null);
    }

    /** Returns how many connections are open. */
    synchronized int total() {
        return mTotal;
    }
}
