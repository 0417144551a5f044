package org.azurearch.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.azurearch.lib.NodeId;

/**
 * Rendezvous hashing: every node that holds the same members chooses the same ones for a key, and a
 * change of one member moves only the choices that involve it.
 */
public final class Rendezvous {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private static final Comparator<Weighted> HEAVIEST_FIRST =
            Comparator.comparingLong(Weighted::weight)
                    .reversed()
                    .thenComparing(weighted -> weighted.member().node());

    private record Weighted(long weight, Member member) {}

    private Rendezvous() {}

    /**
     * Returns the members with the highest weights for a key, the highest first.
     *
     * @param key what the members are chosen for
     * @param members the candidates
     * @param count the most members returned
     */
    public static List<Member> top(String key, Collection<Member> members, int count) {
        List<Weighted> ranked = new ArrayList<>(members.size());
        for (Member member : members) {
            ranked.add(new Weighted(weight(key, member.node()), member));
        }
        ranked.sort(HEAVIEST_FIRST);
        return ranked.stream().limit(count).map(Weighted::member).toList();
    }

    /** Returns the weight of a node for a key. */
    public static long weight(String key, NodeId node) {
        return mix(hash(hash(FNV_OFFSET, key) * FNV_PRIME, node.name()));
    }

    private static long hash(long seed, String text) {
        long hash = seed;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    /** Spreads the bits, so that names that differ little get weights that differ much. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
