package org.azurearch.internal.member;

import java.util.Map;
import java.util.Set;
import org.azurearch.lib.NodeId;

/**
 * Asks another node for what differs.
 *
 * @param viewHash the hash over all that the sender holds
 * @param gossip records for the receiver
 * @param whole whether the sender knows nothing and asks for everything
 * @param buckets the buckets that the versions cover; empty in the first round
 * @param versions what the sender holds in these buckets
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
