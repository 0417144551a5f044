package org.azurearch.sidecar;

/**
 * Limits of what one connection of a caller may hold at a time. Beyond them the connection is not
 * read until an answer has been written.
 *
 * @param maxRequests requests that are not answered yet
 * @param maxBytes bytes of these requests and of answers that wait for their turn
 */
public record PipelineLimits(int maxRequests, long maxBytes) {
    /** The limits if the settings name none. */
    public static final PipelineLimits DEFAULT = new PipelineLimits(16, 1024 * 1024);

    /** Checks that both are positive. */
    public PipelineLimits {
        if (maxRequests < 1 || maxBytes < 1) {
            throw new IllegalArgumentException("limits of a connection must be positive");
        }
    }
}
