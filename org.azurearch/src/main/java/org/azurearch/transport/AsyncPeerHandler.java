package org.azurearch.transport;

import java.util.concurrent.CompletableFuture;
import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.PeerRequest;

/** Handles requests from peers whose replies are not available at once. */
@FunctionalInterface
public interface AsyncPeerHandler {
    /**
     * Starts handling a request and returns without blocking.
     *
     * @param request a request of the kind the handler is registered for
     * @return the reply; a failure with {@link org.azurearch.errors.AzurearchException} is sent to
     *     the peer as a refusal with its code, or as a busy reply if the code is {@code BUSY}
     */
    CompletableFuture<PeerReply> handle(PeerRequest request);
}
