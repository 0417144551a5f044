package org.azurearch.internal.spread;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.azurearch.lib.Digest;
import org.azurearch.lib.NodeId;
import org.azurearch.spread.Position;
import org.jspecify.annotations.Nullable;

/** Counts the digests that peers report for this node's offset; not thread-safe. */
final class DigestVotes {
    private static final int MIN_MAJORITY = 2;

    private final Map<Digest, Set<NodeId>> mVotes = new HashMap<>();
    private long mOffset = -1;

    /**
     * Counts the position that a node has reported.
     *
     * @return the reported position, if more nodes have its digest than this node's and at least
     *     two do; otherwise null
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
