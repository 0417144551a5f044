package org.azurearch.admin;

import java.util.List;
import java.util.Locale;
import org.azurearch.member.Endpoint;
import org.azurearch.member.Member;

/**
 * A node as seen by another node.
 *
 * @param node the node
 * @param dataCentre its data centre
 * @param region its region
 * @param state {@code alive}, {@code suspect}, {@code left} or {@code dead}
 * @param incarnation its incarnation
 * @param admin the address of its administration API
 * @param calls the address at which it accepts calls
 * @param endpoints the backend servers behind it
 */
public record MemberReport(
        String node,
        String dataCentre,
        String region,
        String state,
        long incarnation,
        String admin,
        String calls,
        List<EndpointReport> endpoints) {
    /** Takes a copy of the list. */
    public MemberReport {
        endpoints = List.copyOf(endpoints);
    }

    /** Returns the report of a member. */
    public static MemberReport of(Member member) {
        return new MemberReport(
                member.node().name(),
                member.dataCentre().name(),
                member.region().name(),
                member.state().name().toLowerCase(Locale.ROOT),
                member.incarnation(),
                member.admin().name(),
                member.calls().name(),
                member.endpoints().stream().map(EndpointReport::of).toList());
    }

    /**
     * A backend server.
     *
     * @param firm the firm
     * @param service the service
     * @param node the node in front of it
     * @param dataCentre the data centre
     * @param state {@code starting}, {@code ready}, {@code draining} or {@code absent}
     * @param slots the number of requests that it runs concurrently
     */
    public record EndpointReport(
            String firm, String service, String node, String dataCentre, String state, int slots) {
        /** Returns the report of an endpoint. */
        public static EndpointReport of(Endpoint endpoint) {
            return new EndpointReport(
                    endpoint.firm().name(),
                    endpoint.service().name(),
                    endpoint.node().name(),
                    endpoint.dataCentre().name(),
                    endpoint.state().name().toLowerCase(Locale.ROOT),
                    endpoint.slots());
        }
    }
}
