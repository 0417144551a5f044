package org.azurearch.internal.member;

import org.azurearch.lib.NetAddress;
import org.azurearch.member.Member;

/** What the membership decided to do. */
sealed interface MemberEffect {
    /**
     * Asks a node whether it is alive.
     *
     * @param probe identifies the probe
     * @param target the node
     * @param gossip updates that ride along
     */
    record Probe(long probe, Member target, Gossip gossip) implements MemberEffect {}

    /**
     * Asks a node to probe another one.
     *
     * @param probe identifies the probe
     * @param via the node asked
     * @param target the node probed
     */
    record IndirectProbe(long probe, Member via, Member target) implements MemberEffect {}

    /**
     * Sends updates without waiting for an answer.
     *
     * @param target the receiver
     * @param gossip the updates
     */
    record SendGossip(Member target, Gossip gossip) implements MemberEffect {}

    /**
     * Synchronises with a node.
     *
     * @param target where the node takes exchanges
     * @param request the request
     */
    record Synchronise(NetAddress target, SyncRequest request) implements MemberEffect {}
}
