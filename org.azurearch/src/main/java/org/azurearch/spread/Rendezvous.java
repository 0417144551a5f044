package org.azurearch.spread;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.azurearch.lib.NodeId;

/**
 * Rendezvous hashing: nodes with the same view choose the same ones, and a node that comes or goes
 * changes the choice only where it is itself concerned. Nothing may depend on views being the same.
 */
public final class Rendezvous {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_1 = 0xbf58476d1ce4e5b9L;
    private static final long MIX_2 = 0x94d049bb133111ebL;

    private Rendezvous() {}

    /**
     * Ranks nodes for a key, the first choice first.
     *
     * @param key what the choice is for
     * @param nodes the candidates, in any order
     */
    public static List<NodeId> rank(String key, Collection<NodeId> nodes) {
        List<Scored> scored = new ArrayList<>(nodes.size());
        for (NodeId node : nodes) {
            scored.add(new Scored(node, hash(key + "/" + node.name())));
        }
        scored.sort(
                Comparator.comparingLong(Scored::score)
                        .reversed()
                        .thenComparing(Scored::node, Comparator.naturalOrder()));
        return scored.stream().map(Scored::node).toList();
    }

    private static long hash(String text) {
        long hash = FNV_OFFSET;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * FNV_PRIME;
        }
        hash = (hash ^ (hash >>> 30)) * MIX_1;
        hash = (hash ^ (hash >>> 27)) * MIX_2;
        return hash ^ (hash >>> 31);
    }

    private record Scored(NodeId node, long score) {}
}
