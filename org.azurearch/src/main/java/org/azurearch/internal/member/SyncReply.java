package org.azurearch.internal.member;

import java.util.List;
import org.azurearch.lib.NodeId;

/**
 * The reply to a {@link SyncRequest}.
 *
 * @param same whether both nodes hold the same records
 * @param gossip records that the requester lacks
 * @param bucketHashes the hash of each bucket when the views differ, the board's hash last; empty
 *     otherwise
 * @param wanted nodes for which the requester holds the newer record
 */
record SyncReply(boolean same, Gossip gossip, List<Long> bucketHashes, List<NodeId> wanted) {
    SyncReply {
        bucketHashes = List.copyOf(bucketHashes);
        wanted = List.copyOf(wanted);
    }
}
