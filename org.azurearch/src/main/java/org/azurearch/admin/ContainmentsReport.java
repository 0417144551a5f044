package org.azurearch.admin;

import java.util.List;
import org.azurearch.call.CrashContainment.ContainedRequest;

/**
 * The contained requests known to a node.
 *
 * @param node the node that answers
 * @param contained the requests
 */
public record ContainmentsReport(String node, List<ContainmentReport> contained) {
    /** Takes a copy of the list. */
    public ContainmentsReport {
        contained = List.copyOf(contained);
    }

    /**
     * A contained request.
     *
     * @param fingerprint the fingerprint that it shares with similar requests
     * @param summary its method and target
     * @param crashes the number of backend servers that crashed while running it
     * @param expiresAtMillis when the containment ends, in milliseconds since the epoch
     */
    public record ContainmentReport(
            String fingerprint, String summary, int crashes, long expiresAtMillis) {
        /** Returns the report of a contained request. */
        public static ContainmentReport of(ContainedRequest request) {
            return new ContainmentReport(
                    request.fingerprint(),
                    request.summary(),
                    request.crashes(),
                    request.expiresAtMillis());
        }
    }
}
