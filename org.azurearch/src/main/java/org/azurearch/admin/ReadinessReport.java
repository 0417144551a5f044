package org.azurearch.admin;

import java.util.Map;

/**
 * The readiness of a node to take calls.
 *
 * @param node the node
 * @param ready whether it takes calls
 * @param reason why it does not; empty when it does
 * @param offset the log offset of the configuration in force, -1 if there is none
 * @param digest the digest of the configuration in force, empty if there is none
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
