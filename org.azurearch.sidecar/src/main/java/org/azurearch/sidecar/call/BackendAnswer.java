package org.azurearch.sidecar.call;

import java.util.List;

/**
 * A backend server's whole answer.
 *
 * @param status the HTTP status
 * @param headers names and values in turn; those of one connection only are left out
 * @param body the whole body
 */
public record BackendAnswer(int status, List<String> headers, byte[] body) {
    private static final int FIRST_SERVER_FAILURE = 500;

    /** Says whether the backend server failed the request. */
    public boolean failed() {
        return status >= FIRST_SERVER_FAILURE;
    }
}
