package org.azurearch.call;

import java.util.concurrent.CompletableFuture;
import org.azurearch.lib.NetAddress;

/** The listener that takes calls from callers, from backend servers and from other nodes. */
public interface CallServer {
    /** Returns the address that the server listens on. */
    NetAddress address();

    /** Returns how many calls are under way. */
    int callsInFlight();

    /**
     * Stops taking connections and calls, and lets those under way end.
     *
     * @return completes when the last call has ended; it is not cut off by a time limit
     */
    CompletableFuture<Void> drain();
}
