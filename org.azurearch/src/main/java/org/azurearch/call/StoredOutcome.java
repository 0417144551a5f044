package org.azurearch.call;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The outcome of a non-idempotent request, stored to answer its repetitions.
 *
 * @param status the HTTP status of the answer; 0 if there was none
 * @param headers the headers of the answer
 * @param bodyKept whether the body is stored
 * @param body the body of the answer; empty if it is not stored
 * @param failure why there was no answer, or null if there was one
 */
public record StoredOutcome(
        int status,
        List<Map.Entry<String, String>> headers,
        boolean bodyKept,
        byte[] body,
        @Nullable CallFailure failure) {
    private static final byte[] NO_BODY = new byte[0];

    /** Copies the headers. */
    public StoredOutcome {
        headers = List.copyOf(headers);
    }

    /** Creates the outcome of a request without an answer. */
    public static StoredOutcome failed(CallFailure failure) {
        return new StoredOutcome(0, List.of(), false, NO_BODY, failure);
    }

    /** Returns the same outcome without the body of its answer. */
    public StoredOutcome withoutBody() {
        return new StoredOutcome(status, headers, false, NO_BODY, failure);
    }
}
