package org.azurearch.pgm.demo;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.azurearch.junit.Await;
import org.azurearch.standin.log.LogFault;
import org.azurearch.standin.proxy.ProxyFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Configuration reaches all nodes despite killed nodes, log failures and lost links to the log. */
class MeshFailureTest {
    @TempDir Path mFolder;

    @Test
    void changeReachesTheRestWhenOneThirdAndAllReadersAreKilled() {
        try (MeshFixture mesh = new MeshFixture(mFolder, 6, "rennes")) {
            List<DemoVm> all = mesh.vms();
            long first = mesh.publish(all.get(0));
            MeshFixture.awaitInForce(all, first);
            List<DemoVm> killed = mesh.readers("rennes");
            assertFalse(killed.isEmpty());
            List<DemoVm> remaining = except(all, killed);
            while (killed.size() < all.size() / 3) {
                killed.add(remaining.remove(remaining.size() - 1));
            }
            MeshFixture.kill(killed);
            long second = mesh.publish(remaining.get(0));
            MeshFixture.awaitInForce(remaining, second);
            mesh.start(killed);
            MeshFixture.awaitInForce(all, second);
            assertSameDigest(all);
        }
    }

    @Test
    void dataCentreCutOffFromTheLogGetsVersionsFromPeers() {
        try (MeshFixture mesh = new MeshFixture(mFolder, 2, "rennes", "quimper")) {
            long first = mesh.publish(mesh.vms().get(0));
            MeshFixture.awaitInForce(mesh.vms(), first);
            mesh.logProxy("quimper").setFault(ProxyFault.HALF_OPEN);
            mesh.logProxy("quimper").closeConnections();
            long second = mesh.publish(mesh.vms("rennes").get(0));
            MeshFixture.awaitInForce(mesh.vms(), second);
            mesh.logProxy("quimper").setFault(ProxyFault.NONE);
            mesh.logProxy("quimper").closeConnections();
            long third = mesh.publish(mesh.vms("quimper").get(0));
            MeshFixture.awaitInForce(mesh.vms(), third);
            assertSameDigest(mesh.vms());
        }
    }

    @Test
    void dataCentreRestartsWhileTheLogIsDown() {
        try (MeshFixture mesh = new MeshFixture(mFolder, 2, "rennes", "quimper")) {
            long first = mesh.publish(mesh.vms().get(0));
            MeshFixture.awaitInForce(mesh.vms(), first);
            mesh.log().setFault(LogFault.DOWN);
            MeshFixture.kill(mesh.vms("quimper"));
            mesh.start(mesh.vms("quimper"));
            MeshFixture.awaitInForce(mesh.vms("quimper"), first);
            mesh.log().setFault(LogFault.NONE);
            long second = mesh.publish(mesh.vms("quimper").get(0));
            MeshFixture.awaitInForce(mesh.vms(), second);
            assertSameDigest(mesh.vms());
        }
    }

    @Test
    void lostAppendAnswerPublishesOnce() {
        try (MeshFixture mesh = new MeshFixture(mFolder, 2, "rennes")) {
            long first = mesh.publish(mesh.vms().get(0));
            MeshFixture.awaitInForce(mesh.vms(), first);
            mesh.log().setFault(LogFault.LOSE_APPEND_ANSWERS);
            long second = mesh.publish(mesh.vms().get(0));
            mesh.log().setFault(LogFault.NONE);
            MeshFixture.awaitInForce(mesh.vms(), second);
            assertSameDigest(mesh.vms());
        }
    }

    private static List<DemoVm> except(List<DemoVm> all, List<DemoVm> some) {
        List<DemoVm> rest = new ArrayList<>(all);
        rest.removeAll(some);
        return rest;
    }

    private static void assertSameDigest(List<DemoVm> vms) {
        Await.until("one offset", MeshFixture.TIMEOUT, () -> offsets(vms).size() == 1);
        Set<String> digests = new HashSet<>();
        vms.forEach(vm -> digests.add(MeshFixture.digest(vm)));
        assertEquals(1, digests.size(), digests.toString());
    }

    private static Set<Long> offsets(List<DemoVm> vms) {
        Set<Long> offsets = new HashSet<>();
        vms.forEach(vm -> offsets.add(MeshFixture.offset(vm)));
        return offsets;
    }
}
