package org.azurearch.internal.transport;

import org.azurearch.errors.AzurearchException;

/** Protects the content of requests and replies. Thread-safe. */
interface Sealer {
    /**
     * What pairs a reply with its request.
     *
     * @param keyIndex the index of the shared key that the request is sealed with
     * @param requestHeader the header of the request
     */
    record ReplyBinding(int keyIndex, byte[] requestHeader) {}

    /**
     * A sealed request.
     *
     * @param bytes the sealed bytes
     * @param binding what the reply must be paired with
     */
    record SealedRequest(byte[] bytes, ReplyBinding binding) {}

    /**
     * An opened request.
     *
     * @param plain the content
     * @param binding what the reply must be paired with
     */
    record OpenedRequest(byte[] plain, ReplyBinding binding) {}

    /** Seals a request. Requests must be written to one receiver in the order they are sealed. */
    SealedRequest sealRequest(byte[] plain);

    /**
     * Opens a request.
     *
     * @throws AzurearchException with {@code PEER_UNAUTHENTICATED} when it was not sealed with a
     *     shared key, or was received before
     */
    OpenedRequest openRequest(byte[] sealed);

    /** Seals the reply to a request. */
    byte[] sealReply(ReplyBinding binding, byte[] plain);

    /**
     * Opens a reply.
     *
     * @throws AzurearchException with {@code PEER_UNAUTHENTICATED} when it was not sealed with a
     *     shared key, or answers another request
     */
    byte[] openReply(ReplyBinding binding, byte[] sealed);
}
