package org.azurearch.sidecar.admit;

/**
 * The properties of a request that decide its place in the queue.
 *
 * @param route the name of its route
 * @param rank the rank of its route; 0 is the most urgent
 * @param fromBackend whether another backend server waits for it and holds a slot meanwhile
 * @param targetNanos when its answer misses its target, on the steady clock
 * @param deadlineNanos when its caller stops waiting for the answer, on the same clock
 * @param workMillis how long the backend server is expected to work on it
 * @param account the name of the client account that sent it; empty if there is none
 * @param accountWeight the weight of that account relative to others; positive
 * @param answerMillis how long the link of the VM takes to send its answer; 0 if it does not leave
 *     the VM or the link is not limited
 */
public record QueuedRequest(
        String route,
        int rank,
        boolean fromBackend,
        long targetNanos,
        long deadlineNanos,
        double workMillis,
        String account,
        double accountWeight,
        double answerMillis) {
    /** Creates a request whose answer takes no time on the link. */
    public QueuedRequest(
            String route,
            int rank,
            boolean fromBackend,
            long targetNanos,
            long deadlineNanos,
            double workMillis,
            String account,
            double accountWeight) {
        this(
                route,
                rank,
                fromBackend,
                targetNanos,
                deadlineNanos,
                workMillis,
                account,
                accountWeight,
                0);
    }

    /** Creates a request without a client account. */
    public QueuedRequest(
            String route,
            int rank,
            boolean fromBackend,
            long targetNanos,
            long deadlineNanos,
            double workMillis) {
        this(route, rank, fromBackend, targetNanos, deadlineNanos, workMillis, "", 1);
    }
}
