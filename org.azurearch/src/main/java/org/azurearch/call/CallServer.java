package org.azurearch.call;

import java.util.concurrent.CompletableFuture;
import org.azurearch.lib.NetAddress;

/** Server that accepts calls from callers, backend servers and peers. */
public interface CallServer {
    /** Returns the address that the server listens on. */
    NetAddress address();

    /** Returns the number of calls in flight. */
    int callsInFlight();

    /**
     * Stops accepting connections and calls, and lets running calls end.
     *
     * @return completes when the last call has ended, without a timeout
     */
    CompletableFuture<Void> drain();
}
