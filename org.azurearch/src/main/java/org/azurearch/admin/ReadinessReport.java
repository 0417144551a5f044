package org.azurearch.admin;

import java.util.Map;

/**
 * Whether a node takes calls.
 *
 * @param node the node
 * @param ready whether it takes calls
 * @param reason why it does not; empty when it does
 * @param offset the offset in force, -1 before the first
 * @param digest the digest in force, empty before the first
 * @param versions the version in force by firm
 */
public record ReadinessReport(
        String node,
        boolean ready,
        String reason,
        long offset,
        String digest,
        Map<String, Long> versions) {
    /** Takes a copy of the map. */
    public ReadinessReport {
        versions = Map.copyOf(versions);
    }
}
