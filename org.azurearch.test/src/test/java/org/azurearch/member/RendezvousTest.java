package org.azurearch.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.azurearch.lib.NodeId;
import org.junit.jupiter.api.Test;

class RendezvousTest {
    private static List<NodeId> nodes(int count) {
        List<NodeId> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            nodes.add(NodeId.fromString("node-" + i));
        }
        return nodes;
    }

    @Property(tries = 200, seed = "7")
    void removalOfOneNodeKeepsTheOrderOfTheOthers(
            @ForAll @IntRange(min = 2, max = 40) int count, @ForAll int key, @ForAll long order) {
        List<NodeId> nodes = nodes(count);
        List<NodeId> ranked = Rendezvous.rank("k" + key, nodes);
        Collections.shuffle(nodes, new Random(order));
        assertEquals(ranked, Rendezvous.rank("k" + key, nodes));
        NodeId gone = nodes.remove(0);
        List<NodeId> expected = new ArrayList<>(ranked);
        expected.remove(gone);
        assertEquals(expected, Rendezvous.rank("k" + key, nodes));
    }

    @Test
    void firstRanksAreSpreadEvenly() {
        List<NodeId> nodes = nodes(10);
        Map<NodeId, Integer> counts = new HashMap<>();
        for (int i = 0; i < 10_000; i++) {
            counts.merge(Rendezvous.rank("key-" + i, nodes).get(0), 1, Integer::sum);
        }
        counts.values().forEach(n -> assertTrue(n > 850 && n < 1150, counts::toString));
    }
}
