package org.azurearch.internal.member;

import java.util.Map;
import java.util.Set;
import org.azurearch.lib.NodeId;

/**
 * Requests the records that differ between two nodes.
 *
 * @param viewHash the hash over the sender's reachable records and board
 * @param gossip records for the receiver
 * @param whole whether the sender has no records yet and requests all
 * @param buckets the buckets covered by the versions; empty in the first round
 * @param versions the sender's record versions in these buckets
 */
record SyncRequest(
        long viewHash,
        Gossip gossip,
        boolean whole,
        Set<Integer> buckets,
        Map<NodeId, MemberVersion> versions) {
    SyncRequest {
        buckets = Set.copyOf(buckets);
        versions = Map.copyOf(versions);
    }

    static SyncRequest compare(long viewHash, Gossip gossip) {
        return new SyncRequest(viewHash, gossip, false, Set.of(), Map.of());
    }

    static SyncRequest everything(long viewHash, Gossip gossip) {
        return new SyncRequest(viewHash, gossip, true, Set.of(), Map.of());
    }
}
