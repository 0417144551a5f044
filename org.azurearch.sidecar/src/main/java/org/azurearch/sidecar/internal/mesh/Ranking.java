package org.azurearch.sidecar.internal.mesh;

import java.util.Collection;

/** Rendezvous hashing of node names: nodes with the same view rank each other alike. */
final class Ranking {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Ranking() {}

    /** Returns how many of the nodes go before one. */
    static int rank(String node, Collection<String> nodes) {
        long own = weight(node);
        int before = 0;
        for (String other : nodes) {
            long weight = weight(other);
            boolean heavier = weight > own || (weight == own && other.compareTo(node) < 0);
            before += !other.equals(node) && heavier ? 1 : 0;
        }
        return before;
    }

    private static long weight(String node) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < node.length(); i++) {
            hash = (hash ^ node.charAt(i)) * FNV_PRIME;
        }
        return hash ^ (hash >>> 32);
    }
}
