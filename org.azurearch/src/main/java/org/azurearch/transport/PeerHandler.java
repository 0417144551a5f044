package org.azurearch.transport;

import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.PeerRequest;

/** Handles requests from peers. */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Handles a request; may be called by several threads at once.
     *
     * @param request a request of the kind the handler is registered for
     * @return the reply
     * @throws org.azurearch.errors.AzurearchException to refuse the request with its code, or to
     *     send a busy reply if the code is {@code BUSY}
     */
    PeerReply handle(PeerRequest request);
}
