package org.azurearch.sidecar;

/**
 * Limits of what callers may hold. Beyond those of one connection, no further request is taken from
 * it until an answer has been written; beyond that of all, calls are refused.
 *
 * @param maxRequests requests that are not answered yet
 * @param maxBytes bytes of these requests and of answers that wait for their turn
 * @param maxAnswerBytes bytes of the answers of all callers that are awaited or not read yet
 * @param maxRequestMemoryBytes memory of all requests, from their first header line to their
 *     answer; 0 for a sixth of the heap
 * @param maxConnections open connections of all callers
 */
public record CallerLimits(
        int maxRequests,
        long maxBytes,
        long maxAnswerBytes,
        long maxRequestMemoryBytes,
        int maxConnections) {
    /** The limits if the settings name none. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16, 1024 * 1024, 16 * 1024 * 1024, 0, 2_000);

    /** Checks that all are positive, except for the one that may be 0. */
    public CallerLimits {
        if (maxRequests < 1
                || maxBytes < 1
                || maxAnswerBytes < 1
                || maxRequestMemoryBytes < 0
                || maxConnections < 1) {
            throw new IllegalArgumentException("limits of callers must be positive");
        }
    }
}
