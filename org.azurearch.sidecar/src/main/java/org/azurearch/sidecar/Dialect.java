package org.azurearch.sidecar;

/**
 * The HTTP header names and the readiness path of a platform. All header names are in lower case.
 *
 * @param requestId header: identifies one request as its caller sent it; a backend server repeats
 *     it in its answer
 * @param deadlineMillis header: how long the sender waits for the answer, in milliseconds
 * @param callerService header: the service on whose VM a request originated
 * @param expectedInstance header: the backend server that a request is addressed to
 * @param instance header: the backend server that answered
 * @param notRun header: present if the backend server states that it did not run the request
 * @param responseSignature header: proves that an answer comes from the backend server itself
 * @param requestLimit header of an answer: how many requests a second the backend server takes from
 *     all nodes together; it holds until an answer lacks the header
 * @param leaving header of an answer: present with the value 1 if the backend server is about to
 *     stop
 * @param retryAfter header: how long a refused caller should wait before it retries, in seconds
 * @param accountKey header of a caller: the key of its client account; secret
 * @param account header to a backend server: the name of the client account
 * @param readyPath path at which the platform polls whether the node takes calls
 */
public record Dialect(
        String requestId,
        String deadlineMillis,
        String callerService,
        String expectedInstance,
        String instance,
        String notRun,
        String responseSignature,
        String requestLimit,
        String leaving,
        String retryAfter,
        String accountKey,
        String account,
        String readyPath) {}
