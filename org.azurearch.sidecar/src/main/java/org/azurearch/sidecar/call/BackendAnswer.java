package org.azurearch.sidecar.call;

import java.util.List;
import org.azurearch.sidecar.internal.HeaderList;
import org.jspecify.annotations.Nullable;

/**
 * The complete answer of a backend server.
 *
 * @param status the HTTP status
 * @param headers alternating names and values, without hop-by-hop headers
 * @param body the complete body
 * @param workMillis how long that backend server works on a request of the route
 */
public record BackendAnswer(int status, List<String> headers, byte[] body, double workMillis) {
    /** The value of the header with which a backend server announces that it is leaving. */
    public static final String LEAVING = "1";

    private static final int FIRST_SERVER_FAILURE = 500;

    /** Returns whether a status means that the backend server failed the request. */
    public static boolean failed(int status) {
        return status >= FIRST_SERVER_FAILURE;
    }

    /** Returns whether the backend server failed the request. */
    public boolean failed() {
        return failed(status);
    }

    /** Returns the value of a header, or null if it is missing. */
    public @Nullable String header(String name) {
        return HeaderList.value(headers, name);
    }
}
