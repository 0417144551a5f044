package org.azurearch.sidecar.internal.mesh;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Computes the nodes to which a node pushes configurations within its data centre. Each reader is
 * the root of a tree over all nodes that are not readers, and the second tree has them in reverse
 * order. A node that has failed or has a slow link is a leaf in one of the trees, so that it cannot
 * delay other nodes for long.
 */
final class PushTree {
    /** With 4, a hundred nodes are reached in four steps of a few milliseconds each. */
    private static final int FAN_OUT = 4;

    private PushTree() {}

    /**
     * Returns the names of the nodes to which a node pushes configurations.
     *
     * @param self the name of the node
     * @param readers the readers of the data centre, in the same order at all nodes
     * @param nodes all nodes of the data centre, in the same order at all nodes
     */
    static Set<String> children(String self, List<String> readers, List<String> nodes) {
        Set<String> children = new LinkedHashSet<>();
        List<String> nonReaders = new ArrayList<>(nodes);
        nonReaders.removeAll(readers);
        for (String reader : readers) {
            List<String> tree = new ArrayList<>(List.of(reader));
            tree.addAll(nonReaders);
            int first = tree.indexOf(self) * FAN_OUT + 1;
            if (first > 0) {
                children.addAll(
                        tree.subList(
                                Math.min(first, tree.size()),
                                Math.min(first + FAN_OUT, tree.size())));
            }
            Collections.reverse(nonReaders);
        }
        if (readers.contains(self)) {
            children.addAll(readers);
        }
        children.remove(self);
        return children;
    }
}
