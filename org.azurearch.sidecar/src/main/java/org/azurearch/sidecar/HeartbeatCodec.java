package org.azurearch.sidecar;

import org.azurearch.sidecar.member.Heartbeat;
import org.jspecify.annotations.Nullable;

/** Decodes the heartbeats that a backend server sends to its node over HTTP. */
public interface HeartbeatCodec {
    /**
     * A heartbeat, or the notice that a backend server has departed.
     *
     * @param heartbeat the heartbeat, or null if the backend server has departed
     * @param instance identifies the backend server
     * @param startedMillis the start of its run, in milliseconds since the epoch; 0 if not given
     */
    record Message(@Nullable Heartbeat heartbeat, String instance, long startedMillis) {}

    /**
     * Decodes a request.
     *
     * @param method the HTTP method
     * @param path the request path
     * @param body the request body
     * @return the message, or null if the request is for another path or method
     * @throws RuntimeException if the message is malformed
     */
    @Nullable Message decode(String method, String path, byte[] body);
}
