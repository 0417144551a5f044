package org.azurearch.internal.spread;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.azurearch.lib.Digest;
import org.azurearch.lib.NodeId;
import org.azurearch.spread.Position;
import org.jspecify.annotations.Nullable;

/** Counts which digests other nodes have at this node's offset. */
final class DigestVotes {
    private static final int MIN_MAJORITY = 2;

    private final Map<Digest, Set<NodeId>> mVotes = new HashMap<>();
    private long mOffset = -1;

    /**
     * Counts a node's position.
     *
     * @return the position that more nodes agree on than on this node's own, when there is one
     */
    @Nullable Position count(NodeId node, Position reported, Position own) {
        if (own.offset() != mOffset) {
            mVotes.clear();
            mOffset = own.offset();
        }
        if (reported.offset() != own.offset() || own.offset() < 0) {
            return null;
        }
        mVotes.computeIfAbsent(reported.digest(), digest -> new HashSet<>()).add(node);
        int agreeing = mVotes.getOrDefault(own.digest(), Set.of()).size() + 1;
        int disagreeing = mVotes.getOrDefault(reported.digest(), Set.of()).size();
        boolean outvoted =
                reported.contradicts(own) && disagreeing >= MIN_MAJORITY && disagreeing > agreeing;
        return outvoted ? reported : null;
    }
}
