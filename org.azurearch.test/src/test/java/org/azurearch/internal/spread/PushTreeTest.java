package org.azurearch.internal.spread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.azurearch.lib.NodeId;

class PushTreeTest {
    @Property(tries = 300, seed = "11")
    void everyReceiverIsReachedOnceWithinTheDepthOfBalancedTrees(
            @ForAll @IntRange(max = 600) int count,
            @ForAll @IntRange(min = 2, max = 16) int fanOut) {
        List<NodeId> receivers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            receivers.add(NodeId.fromString("n" + i));
        }
        List<NodeId> reached = new ArrayList<>();
        int depth = walk(receivers, fanOut, reached);
        reached.sort(null);
        receivers.sort(null);
        assertEquals(receivers, reached);
        int capacity = 0;
        int levels = 0;
        for (long width = fanOut; capacity < count; width *= fanOut) {
            capacity += width;
            levels++;
        }
        assertTrue(depth <= levels, depth + " levels for " + count);
    }

    private static int walk(List<NodeId> receivers, int fanOut, List<NodeId> reached) {
        int depth = 0;
        List<PushTree.Branch> branches = PushTree.split(receivers, fanOut);
        assertTrue(branches.size() <= fanOut);
        for (PushTree.Branch branch : branches) {
            reached.add(branch.head());
            depth = Math.max(depth, 1 + walk(branch.subtree(), fanOut, reached));
        }
        return depth;
    }
}
