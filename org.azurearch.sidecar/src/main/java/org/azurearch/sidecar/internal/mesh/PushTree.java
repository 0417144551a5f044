package org.azurearch.sidecar.internal.mesh;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Says to whom a node of a data centre passes on what is new. Two trees lead from the nodes that
 * read the store to all others, the second one in reverse order, so that a node that is gone or has
 * a slow link holds up nobody for long: it is a leaf in one of them.
 */
final class PushTree {
    /** With four, a hundred nodes are four steps away; a step takes a few milliseconds. */
    private static final int FAN_OUT = 4;

    private PushTree() {}

    /**
     * Returns to whom a node passes news on.
     *
     * @param self the name of the node
     * @param readers the nodes that read the store, in the same order at all nodes
     * @param nodes all nodes of the data centre, in the same order at all nodes
     */
    static Set<String> children(String self, List<String> readers, List<String> nodes) {
        Set<String> children = new LinkedHashSet<>();
        List<String> others = new ArrayList<>(nodes);
        others.removeAll(readers);
        for (String reader : readers) {
            List<String> tree = new ArrayList<>(List.of(reader));
            tree.addAll(others);
            int first = tree.indexOf(self) * FAN_OUT + 1;
            if (first > 0) {
                children.addAll(
                        tree.subList(
                                Math.min(first, tree.size()),
                                Math.min(first + FAN_OUT, tree.size())));
            }
            Collections.reverse(others);
        }
        if (readers.contains(self)) {
            children.addAll(readers);
        }
        children.remove(self);
        return children;
    }
}
