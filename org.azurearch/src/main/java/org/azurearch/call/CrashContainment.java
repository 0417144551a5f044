package org.azurearch.call;

import java.util.List;

/**
 * Requests that are refused because each of them was in flight when several backend servers
 * crashed.
 */
public interface CrashContainment {
    /**
     * A contained request.
     *
     * @param fingerprint identifies requests with the same method, target and beginning of the body
     * @param summary method and target, shortened
     * @param crashes crashes that it was in flight at
     * @param expiresAtMillis when the containment ends, in milliseconds since the epoch
     */
    record ContainedRequest(
            String fingerprint, String summary, int crashes, long expiresAtMillis) {}

    /** What became of a release. */
    enum ReleaseStatus {
        /** The request is let through again, on every node that hears of it. */
        RELEASED,
        /** No such request is contained. */
        UNKNOWN
    }

    /** Returns the requests contained now, by fingerprint. */
    List<ContainedRequest> containedRequests();

    /**
     * Lets a request through again, and forgets the crashes that it was in flight at.
     *
     * @param fingerprint the request
     */
    ReleaseStatus release(String fingerprint);
}
