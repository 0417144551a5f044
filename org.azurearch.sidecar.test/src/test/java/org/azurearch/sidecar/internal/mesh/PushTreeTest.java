package org.azurearch.sidecar.internal.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests that the push trees reach all nodes, also past a silent one, with a bounded fan-out. */
class PushTreeTest {
    private static final int MAX_CHILDREN = 9;

    @Test
    void reachesAllFromEachReader() {
        for (int size = 1; size <= 120; size++) {
            List<String> nodes = nodes(size);
            List<String> readers = nodes.subList(0, Math.min(2, size));
            for (String reader : readers) {
                assertEquals(size, reached(reader, readers, nodes, "none").size());
            }
        }
    }

    @Test
    void silentNodeCutsOffNoOtherNode() {
        List<String> nodes = nodes(90);
        List<String> readers = nodes.subList(0, 2);
        for (String silent : nodes.subList(2, 90)) {
            Set<String> reached = new HashSet<>();
            readers.forEach(reader -> reached.addAll(reached(reader, readers, nodes, silent)));
            assertEquals(90, reached.size(), silent);
        }
    }

    @Test
    void eachNodeHasFewChildren() {
        List<String> nodes = nodes(300);
        for (String node : nodes) {
            Set<String> children = PushTree.children(node, nodes.subList(0, 2), nodes);
            assertTrue(children.size() <= MAX_CHILDREN, node + " " + children.size());
        }
    }

    private static Set<String> reached(
            String from, List<String> readers, List<String> nodes, String silent) {
        Set<String> reached = new HashSet<>(Set.of(from));
        Deque<String> queue = new ArrayDeque<>(reached);
        while (!queue.isEmpty()) {
            String node = queue.poll();
            if (node.equals(silent)) {
                continue;
            }
            for (String child : PushTree.children(node, readers, nodes)) {
                if (reached.add(child)) {
                    queue.add(child);
                }
            }
        }
        return reached;
    }

    private static List<String> nodes(int count) {
        return IntStream.range(0, count).mapToObj(i -> "node-" + i).toList();
    }
}
