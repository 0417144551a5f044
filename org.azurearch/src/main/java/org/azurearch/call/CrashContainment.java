package org.azurearch.call;

import java.util.List;

/**
 * Requests that are refused because each of them was in flight at several crashes of backend
 * servers.
 */
public interface CrashContainment {
    /**
     * A contained request.
     *
     * @param fingerprint hash that requests with equal method, target and start of the body share
     * @param summary method and target, truncated
     * @param crashes the number of crashes that it was in flight at
     * @param expiresAtMillis when the containment ends, in milliseconds since the epoch
     */
    record ContainedRequest(
            String fingerprint, String summary, int crashes, long expiresAtMillis) {}

    /** The result of a release. */
    enum ReleaseStatus {
        /** The request is admitted again, on each node once the release has reached it. */
        RELEASED,
        /** No contained request has the fingerprint. */
        UNKNOWN
    }

    /** Returns the requests contained now, ordered by fingerprint. */
    List<ContainedRequest> containedRequests();

    /**
     * Ends the containment of a request and clears it of the crashes that it was in flight at.
     *
     * @param fingerprint the fingerprint of the request
     */
    ReleaseStatus release(String fingerprint);
}
