package org.azurearch.internal.spread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.azurearch.config.RouteConfig;
import org.azurearch.config.SiteConfig;
import org.azurearch.lib.SiteId;
import org.azurearch.spread.BytesPolicy;
import org.azurearch.spread.ConvergencePolicy;

class SpreadPropertyTest {
    private static final int STEPS = 25;
    private static final List<String> DATA_CENTRES = List.of("a", "b", "c");

    @Property(tries = 25, seed = "20261203")
    void nodesConvergeAfterAnyFaultsAndOffsetsNeverDecrease(
            @ForAll @IntRange(max = 1_000_000) int seed, @ForAll boolean convergencePolicy) {
        FakeMesh mesh =
                new FakeMesh(convergencePolicy ? new ConvergencePolicy() : new BytesPolicy(), seed);
        Random random = new Random(seed);
        DATA_CENTRES.forEach(dataCentre -> mesh.startNodes(dataCentre, 4));
        mesh.publish("first");
        List<FakeNode> startedNodes = new ArrayList<>(mesh.mNodes.values());
        for (int step = 0; step < STEPS; step++) {
            injectFault(mesh, random, step, startedNodes);
            mesh.run(random.nextInt(3_000));
        }
        heal(mesh);
        long last = mesh.mLog.end(FakeMesh.CHANGES) - 1;
        mesh.converge(last, 60_000);
        startedNodes.forEach(SpreadPropertyTest::assertOffsetsIncrease);
        Set<Object> digests = new HashSet<>();
        mesh.mNodes.values().forEach(node -> digests.add(node.view().position()));
        assertEquals(1, digests.size());
        mesh.mNodes.values().forEach(SpreadPropertyTest::assertReferencesResolve);
    }

    private static void injectFault(
            FakeMesh mesh, Random random, int step, List<FakeNode> startedNodes) {
        String dataCentre = DATA_CENTRES.get(random.nextInt(DATA_CENTRES.size()));
        switch (random.nextInt(8)) {
            case 0, 1, 2 -> mesh.publish("c" + step);
            case 3 -> mesh.mLog.mDown = random.nextBoolean();
            case 4 -> {
                mesh.mLoss = random.nextDouble() * 0.4;
                mesh.mDuplicates = random.nextDouble() * 0.4;
            }
            case 5 -> {
                mesh.mLinkCut =
                        (a, b) -> a.mName.startsWith(dataCentre) != b.mName.startsWith(dataCentre);
                mesh.membersChanged();
            }
            case 6 -> mesh.mLogCut = node -> node.mName.startsWith(dataCentre);
            default -> startedNodes.add(restart(mesh, random));
        }
    }

    private static FakeNode restart(FakeMesh mesh, Random random) {
        List<String> names = List.copyOf(mesh.mNodes.keySet());
        String name = names.get(random.nextInt(names.size()));
        mesh.kill(name);
        return mesh.start(name.substring(0, 1), name);
    }

    private static void heal(FakeMesh mesh) {
        mesh.mLog.mDown = false;
        mesh.mLoss = 0;
        mesh.mDuplicates = 0;
        mesh.mLinkCut = (a, b) -> false;
        mesh.mLogCut = node -> false;
        mesh.membersChanged();
    }

    private static void assertOffsetsIncrease(FakeNode node) {
        for (int i = 1; i < node.mInstalled.size(); i++) {
            assertTrue(
                    node.mInstalled.get(i) > node.mInstalled.get(i - 1),
                    () -> node.mName + " installed " + node.mInstalled);
        }
    }

    private static void assertReferencesResolve(FakeNode node) {
        SiteId site = SiteId.fromString(node.mDataCentre.name());
        SiteConfig config = node.changeService().state().configAt(site).firms().get(FakeMesh.FIRM);
        for (RouteConfig route : config.routes().values()) {
            assertTrue(config.services().containsKey(route.service()));
            assertTrue(config.classes().containsKey(route.callClass()));
            assertTrue(config.policies().containsKey(route.policy()));
        }
    }
}
