package org.azurearch.admin;

import java.util.List;

/**
 * The backend servers known to a node.
 *
 * @param node the node that answers
 * @param endpoints the backend servers
 */
public record EndpointsReport(String node, List<MemberReport.EndpointReport> endpoints) {
    /** Takes a copy of the list. */
    public EndpointsReport {
        endpoints = List.copyOf(endpoints);
    }
}
