package org.azurearch.member;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import org.azurearch.internal.member.Hashes;
import org.azurearch.lib.NodeId;

/**
 * Rendezvous hashing: nodes with the same member list choose the same members for a key, and adding
 * or removing a member changes only the choices that involve it. Callers must not rely on all nodes
 * having the same list.
 */
public final class Rendezvous {
    private Rendezvous() {}

    /**
     * Returns the members with the highest weights for a key, highest first.
     *
     * @param key the key to choose members for
     * @param members the candidates, in any order
     * @param count the maximum number of members returned
     */
    public static List<Member> top(String key, Collection<Member> members, int count) {
        return ranked(key, members, Member::node).stream().limit(count).toList();
    }

    /**
     * Ranks nodes for a key, highest weight first.
     *
     * @param key the key to rank the nodes for
     * @param nodes the candidates, in any order
     */
    public static List<NodeId> rank(String key, Collection<NodeId> nodes) {
        return ranked(key, nodes, Function.identity());
    }

    private static <T> List<T> ranked(
            String key, Collection<T> candidates, Function<T, NodeId> node) {
        Comparator<Weighted<T>> heaviestFirst =
                Comparator.comparingLong((Weighted<T> weighted) -> weighted.weight())
                        .reversed()
                        .thenComparing(Weighted::node);
        return candidates.stream()
                .map(each -> weighted(key, each, node.apply(each)))
                .sorted(heaviestFirst)
                .map(Weighted::candidate)
                .toList();
    }

    private static <T> Weighted<T> weighted(String key, T candidate, NodeId node) {
        return new Weighted<>(Hashes.of(key + "/" + node.name()), node, candidate);
    }

    /** A candidate with its weight, computed once per ranking. */
    private record Weighted<T>(long weight, NodeId node, T candidate) {}
}
