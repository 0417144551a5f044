package org.azurearch.transport;

import java.util.concurrent.CompletableFuture;
import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.PeerRequest;

/** Handles requests from other nodes whose replies take a while. */
@FunctionalInterface
public interface AsyncPeerHandler {
    /**
     * Starts to handle a request; returns without waiting.
     *
     * @param request a request of the kind the handler is registered for
     * @return the reply; a failure with {@link org.azurearch.errors.AzurearchException} answers
     *     that the request is refused, or busy
     */
    CompletableFuture<PeerReply> handle(PeerRequest request);
}
