package org.azurearch.internal.member;

import org.azurearch.lib.NetAddress;
import org.azurearch.member.Member;

/** An action decided by the membership. */
sealed interface MemberEffect {
    /**
     * Pings a node.
     *
     * @param probe identifies the probe
     * @param target the node
     * @param gossip updates piggybacked on the ping
     */
    record Probe(long probe, Member target, Gossip gossip) implements MemberEffect {}

    /**
     * Asks a node to ping another one.
     *
     * @param probe identifies the probe
     * @param via the node that sends the ping
     * @param target the node to ping
     */
    record IndirectProbe(long probe, Member via, Member target) implements MemberEffect {}

    /**
     * Sends updates without waiting for a reply.
     *
     * @param target the receiver
     * @param gossip the updates
     */
    record SendGossip(Member target, Gossip gossip) implements MemberEffect {}

    /**
     * Synchronises with a node.
     *
     * @param target the node's address for peer requests
     * @param request the request
     */
    record Synchronise(NetAddress target, SyncRequest request) implements MemberEffect {}
}
