package org.azurearch.transport;

import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.PeerRequest;

/** Handles requests from other nodes. */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Handles a request; may be called on several threads at once.
     *
     * @param request a request of the kind the handler is registered for
     * @return the reply
     * @throws org.azurearch.errors.AzurearchException to answer that the request is refused, or
     *     busy
     */
    PeerReply handle(PeerRequest request);
}
