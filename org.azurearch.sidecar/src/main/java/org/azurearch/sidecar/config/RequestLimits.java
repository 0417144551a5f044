package org.azurearch.sidecar.config;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes the largest request head
 * @param maxBodyBytes the largest request body
 * @param headerTimeoutMillis the longest time until a request head has arrived
 * @param idleTimeoutMillis the longest time that a connection may be idle between two requests
 */
public record RequestLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** The limits until a configuration is in force. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(16 * 1024, 8 * 1024 * 1024, 5_000, 60_000);

    /** Checks that every limit is positive. */
    public RequestLimits {
        if (maxHeaderBytes <= 0
                || maxBodyBytes <= 0
                || headerTimeoutMillis <= 0
                || idleTimeoutMillis <= 0) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }
}
