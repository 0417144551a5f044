package org.azurearch.standin.load;

import java.util.Map;

/**
 * A kind of request in the mix.
 *
 * @param name the name in reports, such as the class
 * @param method the HTTP method
 * @param path the path
 * @param headers more headers, such as the firm or a token
 * @param weight its share of the mix against the other kinds, 1 or more
 * @param bodyBytes the size of the body, 0 for none
 * @param answerBytes the least size of the answer
 * @param keyed whether each request carries an idempotency key of its own
 */
public record RequestKind(
        String name,
        String method,
        String path,
        Map<String, String> headers,
        int weight,
        int bodyBytes,
        int answerBytes,
        boolean keyed) {
    /** Takes a copy of the headers. */
    public RequestKind {
        headers = Map.copyOf(headers);
    }

    /** Returns an idempotent read. */
    public static RequestKind read(String name, String path, int weight, int answerBytes) {
        return new RequestKind(name, "GET", path, Map.of(), weight, 0, answerBytes, false);
    }

    /** Returns a non-idempotent request with an idempotency key. */
    public static RequestKind order(String name, String path, int weight, int bodyBytes) {
        return new RequestKind(name, "POST", path, Map.of(), weight, bodyBytes, 0, true);
    }

    /** Returns a non-idempotent request without a key; its caller never sends it again. */
    public static RequestKind orderWithoutKey(String name, String path, int weight, int bodyBytes) {
        return new RequestKind(name, "POST", path, Map.of(), weight, bodyBytes, 0, false);
    }

    /** Says whether the request is idempotent by its method. */
    public boolean idempotent() {
        return method.equals("GET");
    }

    /** Says whether a caller may send the request again when its outcome is not known. */
    public boolean retryable() {
        return keyed || idempotent();
    }
}
