package org.azurearch.internal.spread;

import java.util.ArrayList;
import java.util.List;
import org.azurearch.lib.NodeId;

/** Splits the receivers of a push into branches whose sizes differ by at most one. */
final class PushTree {
    /**
     * A branch of the tree.
     *
     * @param head the node that the push is sent to
     * @param subtree the nodes that the head forwards the push to
     */
    record Branch(NodeId head, List<NodeId> subtree) {}

    private PushTree() {}

    /**
     * Splits receivers into branches. The first receivers become the heads, in their order.
     *
     * @param receivers the nodes to reach, without duplicates
     * @param fanOut the maximum number of branches, at least 1
     */
    static List<Branch> split(List<NodeId> receivers, int fanOut) {
        int heads = Math.min(fanOut, receivers.size());
        List<List<NodeId>> subtrees = new ArrayList<>();
        for (int i = 0; i < heads; i++) {
            subtrees.add(new ArrayList<>());
        }
        for (int i = heads; i < receivers.size(); i++) {
            subtrees.get(i % heads).add(receivers.get(i));
        }
        List<Branch> branches = new ArrayList<>();
        for (int i = 0; i < heads; i++) {
            branches.add(new Branch(receivers.get(i), List.copyOf(subtrees.get(i))));
        }
        return branches;
    }
}
