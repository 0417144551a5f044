package org.azurearch.standin.load;

import java.util.Map;

/**
 * A kind of request in the mix.
 *
 * @param name the name in reports, such as the class
 * @param method the HTTP method
 * @param path the path
 * @param headers additional headers, such as the firm or a token
 * @param weight its share of the mix relative to the other kinds, at least 1
 * @param bodyBytes the size of the body, 0 for none
 * @param answerBytes the minimum size of the answer
 * @param keyed whether each request carries its own idempotency key
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
    /** Copies the headers. */
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

    /** Returns a non-idempotent request without a key; it is never retried. */
    public static RequestKind orderWithoutKey(String name, String path, int weight, int bodyBytes) {
        return new RequestKind(name, "POST", path, Map.of(), weight, bodyBytes, 0, false);
    }

    /** Returns whether the request is idempotent by its method. */
    public boolean idempotent() {
        return method.equals("GET");
    }

    /** Returns whether the request may be retried when its outcome is unknown. */
    public boolean retryable() {
        return keyed || idempotent();
    }
}
