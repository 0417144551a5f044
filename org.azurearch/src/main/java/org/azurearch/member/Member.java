package org.azurearch.member;

import java.util.List;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.NodeId;
import org.azurearch.lib.RegionId;

/**
 * The membership record of a node. Of two records of the same node, the one with the higher
 * (incarnation, sequence) wins.
 *
 * @param node the node
 * @param dataCentre its data centre
 * @param region its region
 * @param incarnation increases with each start of the process, and when the node overrides a record
 *     of itself with a later incarnation
 * @param sequence increases with each change that the node makes to its own record and with each
 *     suspicion or declaration of death that it refutes
 * @param state the state
 * @param peer where it accepts requests of the peer protocol
 * @param calls where it accepts calls; port 0 until it does
 * @param admin where it serves the administration API
 * @param endpoints the backend servers beside it
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
    /** Copies the list. */
    public Member {
        endpoints = List.copyOf(endpoints);
    }

    /** Returns whether calls and peer requests may be sent to the node. */
    public boolean reachable() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }

    /**
     * Returns whether calls may be sent to the node: it is reachable and its calls address is set.
     */
    public boolean takesCalls() {
        return reachable() && calls.port() != 0;
    }
}
