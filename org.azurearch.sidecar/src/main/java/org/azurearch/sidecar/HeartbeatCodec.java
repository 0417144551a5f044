package org.azurearch.sidecar;

import org.azurearch.sidecar.member.Heartbeat;
import org.jspecify.annotations.Nullable;

/** Reads what the backend server beside a node says of itself over HTTP. */
public interface HeartbeatCodec {
    /**
     * A message.
     *
     * @param heartbeat the heartbeat, or null when the backend server says that it is gone
     * @param instance identifies the backend server
     * @param startedMillis the start of its run, in milliseconds since the epoch; 0 if not said
     */
    record Message(@Nullable Heartbeat heartbeat, String instance, long startedMillis) {}

    /**
     * Reads a request.
     *
     * @param method the method
     * @param path the path
     * @param body the body
     * @return the message, or null when the request is not one
     * @throws RuntimeException when the request is one but cannot be read
     */
    @Nullable Message read(String method, String path, byte[] body);
}
