package org.azurearch.transport;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.azurearch.lib.NetAddress;
import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.PeerRequest;

/** Sends requests to other nodes. */
public interface PeerClient extends AutoCloseable {
    /**
     * Sends a request.
     *
     * @param to where the node takes exchanges
     * @param request the request
     * @param timeout the longest to wait, connecting included
     * @return the reply, which may say that the other node is busy; it is completed on a thread of
     *     the transport, which must not be held up. When the other node refuses the request, it
     *     fails with the code that the node gave. It fails with {@link
     *     org.azurearch.errors.AzurearchException} of code {@code PEER_UNAVAILABLE}, {@code
     *     PEER_UNAUTHENTICATED}, or {@code BUSY} when too many requests to that node are under way
     */
    CompletableFuture<PeerReply> send(NetAddress to, PeerRequest request, Duration timeout);

    @Override
    void close();
}
