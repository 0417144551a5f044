package org.azurearch.sidecar;

/**
 * How callers and backend servers of a platform name what they say in HTTP. All header names are in
 * lower case.
 *
 * @param requestId header: identifies one sending of a caller; a backend server repeats it
 * @param deadlineMillis header: for how long the sender will wait, in milliseconds
 * @param callerService header: the service on whose VM a request began
 * @param expectedInstance header: the backend server that a request is meant for
 * @param instance header: the backend server that answers
 * @param notRun header: present where a backend server says that it did not run a request
 * @param responseSignature header: shows that an answer is a backend server's own
 * @param retryAfter header: when a refused caller should come back, in seconds
 * @param readyPath path on which the platform asks whether the node takes calls
 */
public record Dialect(
        String requestId,
        String deadlineMillis,
        String callerService,
        String expectedInstance,
        String instance,
        String notRun,
        String responseSignature,
        String retryAfter,
        String readyPath) {}
