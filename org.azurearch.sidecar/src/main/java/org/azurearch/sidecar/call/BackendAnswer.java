package org.azurearch.sidecar.call;

import java.util.List;

/**
 * The complete answer of a backend server.
 *
 * @param status the HTTP status
 * @param headers alternating names and values, without hop-by-hop headers
 * @param body the complete body
 * @param workMillis how long that backend server works on a request of the route
 */
public record BackendAnswer(int status, List<String> headers, byte[] body, double workMillis) {
    private static final int FIRST_SERVER_FAILURE = 500;

    /** Returns whether a status means that the backend server failed the request. */
    public static boolean failed(int status) {
        return status >= FIRST_SERVER_FAILURE;
    }

    /** Returns whether the backend server failed the request. */
    public boolean failed() {
        return failed(status);
    }
}
