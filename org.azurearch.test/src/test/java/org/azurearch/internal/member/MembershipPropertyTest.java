package org.azurearch.internal.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.azurearch.lib.NodeId;
import org.azurearch.member.Member;
import org.azurearch.member.MemberState;

class MembershipPropertyTest {
    private static final String[] DATA_CENTRES = {"a", "b", "c"};

    @Property(tries = 25, seed = "11")
    void recordsNeverRegressAndViewsConvergeAfterFaults(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed,
            @ForAll @IntRange(min = 2, max = 9) int nodes,
            @ForAll @IntRange(min = 0, max = 40) int lossPercent) {
        MemberNetwork network = new MemberNetwork(seed);
        for (int i = 0; i < nodes; i++) {
            network.start("n" + i, DATA_CENTRES[i % DATA_CENTRES.length]);
        }
        network.mLossRate = lossPercent / 100.0;
        network.mDuplicationRate = 0.2;
        Map<String, Map<NodeId, MemberVersion>> seen = new HashMap<>();
        for (int step = 0; step < 60; step++) {
            maybeRestartNode(network, nodes);
            network.run(500);
            checkNoRegression(network, seen);
        }
        network.mLossRate = 0;
        network.mDuplicationRate = 0;
        long took = network.runUntil(180_000, () -> settled(network));
        assertTrue(took >= 0, "no convergence: " + network.mCores.size() + " nodes");
    }

    private static void maybeRestartNode(MemberNetwork network, int nodes) {
        int index = network.mRandom.nextInt(1, Math.max(2, nodes));
        String node = "n" + index;
        if (index < nodes && network.mRandom.nextInt(10) == 0) {
            network.kill(node);
            network.start(node, DATA_CENTRES[index % DATA_CENTRES.length]);
        }
    }

    /**
     * Checks that, within one run of a process, records are replaced only by ones that supersede
     * them.
     */
    private static void checkNoRegression(
            MemberNetwork network, Map<String, Map<NodeId, MemberVersion>> seen) {
        network.mCores.forEach(
                (name, core) -> {
                    String run = name + core.mesh().self().incarnation() + core.hashCode();
                    Map<NodeId, MemberVersion> before =
                            seen.computeIfAbsent(run, key -> new HashMap<>());
                    for (Member member : core.mesh().table().all()) {
                        MemberVersion version = MemberVersion.of(member);
                        MemberVersion held = before.put(member.node(), version);
                        assertTrue(held == null || version.compareTo(held) >= 0);
                    }
                });
    }

    private static boolean settled(MemberNetwork network) {
        boolean allAlive =
                network.mCores.values().stream()
                        .flatMap(core -> core.mesh().table().all().stream())
                        .allMatch(member -> member.state() == MemberState.ALIVE);
        return allAlive && network.converged();
    }

    @Property(tries = 50, seed = "12")
    void hashDependsOnlyOnTheContent(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        MemberNetwork network = new MemberNetwork(seed);
        network.start("a", "a");
        network.start("b", "a");
        network.run(3_000);
        MemberTable copy = new MemberTable(16);
        for (Member member : network.core("a").mesh().table().all()) {
            copy.merge(member, 0);
        }
        assertEquals(copy.hash(), network.core("a").mesh().table().hash());
    }
}
