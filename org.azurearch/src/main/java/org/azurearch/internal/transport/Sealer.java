package org.azurearch.internal.transport;

import org.azurearch.errors.AzurearchException;

/** Encrypts and authenticates requests and replies. Thread-safe. */
interface Sealer {
    /**
     * Binds a reply to its request.
     *
     * @param keyIndex the index of the shared key that the request is sealed with
     * @param requestHeader the header of the sealed request, which the reply authenticates
     */
    record ReplyBinding(int keyIndex, byte[] requestHeader) {}

    /**
     * A sealed request.
     *
     * @param bytes the sealed bytes
     * @param binding the binding that the reply must have
     */
    record SealedRequest(byte[] bytes, ReplyBinding binding) {}

    /**
     * An opened request.
     *
     * @param plain the plaintext
     * @param binding the binding that the reply must have
     */
    record OpenedRequest(byte[] plain, ReplyBinding binding) {}

    /**
     * Seals a request. Requests to one receiver must be sent in the order in which they are sealed:
     * the receiver refuses a request older than one it has received.
     */
    SealedRequest sealRequest(byte[] plain);

    /**
     * Opens a request.
     *
     * @throws AzurearchException with {@code PEER_UNAUTHENTICATED} if it was not sealed with a
     *     shared key, or is a replay
     */
    OpenedRequest openRequest(byte[] sealed);

    /** Seals the reply to a request. */
    byte[] sealReply(ReplyBinding binding, byte[] plain);

    /**
     * Opens a reply.
     *
     * @throws AzurearchException with {@code PEER_UNAUTHENTICATED} if it was not sealed with a
     *     shared key, or is the reply to another request
     */
    byte[] openReply(ReplyBinding binding, byte[] sealed);
}
