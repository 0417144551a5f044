package org.azurearch.internal.call;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.azurearch.lib.Digest;
import org.azurearch.lib.NodeId;
import org.azurearch.member.Member;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the nodes of a data centre that claim keys, so that few nodes follow the claims stream.
 * Nodes with different views may choose differently: the log decides all the same.
 */
final class ClaimHomes {
    private static final int HOMES = 2;

    private ClaimHomes() {}

    /** Returns the node that claims a key, or null when no node is reachable. */
    static @Nullable Member of(List<Member> reachable, String key) {
        List<Member> ranked = new ArrayList<>(reachable);
        ranked.sort(
                Comparator.comparingInt((Member member) -> rank(member.node()))
                        .thenComparing(Member::node));
        int homes = Math.min(HOMES, ranked.size());
        return homes == 0 ? null : ranked.get(Math.floorMod(key.hashCode(), homes));
    }

    private static int rank(NodeId node) {
        return Digest.of((node.name() + "/claims").getBytes(StandardCharsets.UTF_8)).hashCode();
    }
}
