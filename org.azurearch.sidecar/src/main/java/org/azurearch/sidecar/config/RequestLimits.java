package org.azurearch.sidecar.config;

/**
 * Bounds on what a caller may send.
 *
 * @param headerBytes the largest request head
 * @param bodyBytes the largest request body
 * @param headerMillis the longest that a request head may take to arrive
 * @param idleMillis the longest that a connection may stand idle between two requests
 */
public record RequestLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {
    /** Bounds while no configuration is known. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(16 * 1024, 8 * 1024 * 1024, 5_000, 60_000);

    /** Checks that every bound is positive. */
    public RequestLimits {
        if (headerBytes <= 0 || bodyBytes <= 0 || headerMillis <= 0 || idleMillis <= 0) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }
}
