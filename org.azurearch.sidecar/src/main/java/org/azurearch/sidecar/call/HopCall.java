package org.azurearch.sidecar.call;

import java.util.List;
import org.azurearch.sidecar.internal.HeaderList;
import org.jspecify.annotations.Nullable;

/**
 * A request that is sent to the node in front of the selected backend server.
 *
 * @param id identifies the call on a connection, so that its outcome is matched to it
 * @param method the method
 * @param target the request target
 * @param headers alternating names and values, without hop-by-hop headers
 * @param body the complete body
 * @param deadlineNanos when the caller stops waiting for the answer, on the steady clock of this
 *     node
 * @param targetNanos when the answer misses its target, on the same clock
 * @param rank the rank of the route; 0 is the most urgent
 * @param service the service that it is for
 * @param route the name of the route
 * @param idempotent whether it may run more than once
 * @param account the name of the client account that shares slots with others; empty if none does
 * @param accountWeight the weight of that account relative to others; positive
 */
public record HopCall(
        long id,
        String method,
        String target,
        List<String> headers,
        byte[] body,
        long deadlineNanos,
        long targetNanos,
        int rank,
        String service,
        String route,
        boolean idempotent,
        String account,
        double accountWeight) {
    /** The weight of a request without an account. */
    public static final double DEFAULT_WEIGHT = 1;

    /** Creates a call without a client account. */
    public HopCall(
            long id,
            String method,
            String target,
            List<String> headers,
            byte[] body,
            long deadlineNanos,
            long targetNanos,
            int rank,
            String service,
            String route,
            boolean idempotent) {
        this(
                id,
                method,
                target,
                headers,
                body,
                deadlineNanos,
                targetNanos,
                rank,
                service,
                route,
                idempotent,
                "",
                DEFAULT_WEIGHT);
    }

    /** Returns the value of a header, or null if it is missing. */
    public @Nullable String header(String name) {
        return HeaderList.value(headers, name);
    }
}
