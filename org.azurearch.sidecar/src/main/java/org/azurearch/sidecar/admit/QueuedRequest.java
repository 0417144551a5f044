package org.azurearch.sidecar.admit;

/**
 * A request as the queue sees it.
 *
 * @param route the name of its route
 * @param rank the rank of its route; 0 is the most urgent
 * @param fromBackend whether another backend server waits for it and holds a slot meanwhile
 * @param targetNanos when its answer loses worth
 * @param deadlineNanos when nobody waits for its answer any more
 * @param workMillis how long the backend server is expected to work on it
 */
public record QueuedRequest(
        String route,
        int rank,
        boolean fromBackend,
        long targetNanos,
        long deadlineNanos,
        double workMillis) {}
