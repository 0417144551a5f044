package org.azurearch.member;

import java.util.List;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.NodeId;
import org.azurearch.lib.RegionId;

/**
 * What is known of a node. Of two records of one node the one with the higher (incarnation,
 * sequence) holds.
 *
 * @param node the node
 * @param dataCentre its data centre
 * @param region its region
 * @param incarnation grows with each start of the process and stays while it runs
 * @param sequence grows with each change that the node makes to its own record and with each
 *     suspicion or claim of death that it refutes
 * @param state the state
 * @param peer where it takes exchanges from other nodes
 * @param calls where it takes calls
 * @param admin where it serves the administration API
 * @param endpoints the backend servers behind it
 */
public record Member(
        NodeId node,
        DataCentreId dataCentre,
        RegionId region,
        long incarnation,
        long sequence,
        MemberState state,
        NetAddress peer,
        NetAddress calls,
        NetAddress admin,
        List<Endpoint> endpoints) {
    /** Takes a copy of the list. */
    public Member {
        endpoints = List.copyOf(endpoints);
    }

    /** Says whether calls and exchanges may be sent to the node. */
    public boolean reachable() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }

    /**
     * Says whether calls may be sent to the node: it is reachable and has said where it takes them.
     */
    public boolean takesCalls() {
        return reachable() && calls.port() != 0;
    }
}
