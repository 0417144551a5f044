package org.azurearch.transport;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.azurearch.lib.NetAddress;
import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.PeerRequest;

/** Sends requests to peers. */
public interface PeerClient extends AutoCloseable {
    /**
     * Sends a request.
     *
     * @param to the address that the peer listens on
     * @param request the request
     * @param timeout the maximum time to wait, including the time to connect
     * @return the reply, which may be a busy reply. It is completed on a thread of the transport,
     *     which must not be blocked. It fails with {@link org.azurearch.errors.AzurearchException}:
     *     with the peer's code if the peer refuses the request, otherwise with {@code
     *     PEER_UNAVAILABLE}, {@code PEER_UNAUTHENTICATED}, or {@code BUSY} when too many requests
     *     to that peer are in flight
     */
    CompletableFuture<PeerReply> send(NetAddress to, PeerRequest request, Duration timeout);

    @Override
    void close();
}
