package org.azurearch.sidecar.call;

import java.util.List;

/**
 * A backend server's whole answer.
 *
 * @param status the HTTP status
 * @param headers names and values in turn; those of one connection only are left out
 * @param body the whole body
 * @param workMillis how long that backend server works on a request of the route
 */
public record BackendAnswer(int status, List<String> headers, byte[] body, double workMillis) {
    private static final int FIRST_SERVER_FAILURE = 500;

    /** Says whether a status means that the backend server failed the request. */
    public static boolean failed(int status) {
        return status >= FIRST_SERVER_FAILURE;
    }

    /** Says whether the backend server failed the request. */
    public boolean failed() {
        return failed(status);
    }
}
