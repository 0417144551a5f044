package org.azurearch.sidecar.config;

/**
 * Bounds on what a caller may send.
 *
 * @param maxHeaderBytes the largest request head
 * @param maxBodyBytes the largest request body
 * @param headerTimeoutMillis the longest that a request head may take to arrive
 * @param idleTimeoutMillis the longest that a connection may stand idle between two requests
 */
public record RequestLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Bounds while no configuration is known. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(16 * 1024, 8 * 1024 * 1024, 5_000, 60_000);

    /** Checks that every bound is positive. */
    public RequestLimits {
        if (maxHeaderBytes <= 0
                || maxBodyBytes <= 0
                || headerTimeoutMillis <= 0
                || idleTimeoutMillis <= 0) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }
}
