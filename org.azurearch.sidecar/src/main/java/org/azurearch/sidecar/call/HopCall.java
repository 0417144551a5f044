package org.azurearch.sidecar.call;

import java.util.List;

/**
 * A request on its way to the node in front of the chosen backend server.
 *
 * @param id pairs the outcome with the call on a connection
 * @param method the method
 * @param target the request target
 * @param headers names and values in turn; those of one connection only are left out
 * @param body the whole body
 * @param deadlineNanos when nobody waits for the answer any more, on the steady clock of the holder
 * @param targetNanos when the answer loses worth, on the same clock
 * @param rank the rank of the route; 0 is the most urgent
 * @param service the service that it is for
 * @param route the name of the route
 * @param idempotent whether it may run more than once
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
        boolean idempotent) {}
