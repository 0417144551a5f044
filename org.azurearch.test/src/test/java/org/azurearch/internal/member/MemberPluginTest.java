package org.azurearch.internal.member;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import org.azurearch.junit.Await;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.NodeId;
import org.azurearch.lib.ServiceId;
import org.azurearch.member.Announcement;
import org.azurearch.member.BackendState;
import org.azurearch.member.Endpoint;
import org.azurearch.member.EndpointView;
import org.azurearch.member.Member;
import org.azurearch.member.MemberState;
import org.junit.jupiter.api.Test;

class MemberPluginTest {
    private static final FirmId FIRM = FirmId.fromString("firm");
    private static final ServiceId SERVICE = ServiceId.fromString("service");

    @Test
    void nodesOfTwoDataCentresSeeEachOthersEndpointsAndDepartures() {
        try (TestNode a1 = new TestNode("a1", "a", List.of());
                TestNode a2 = new TestNode("a2", "a", List.of(a1.address()));
                TestNode b1 = new TestNode("b1", "b", List.of(a1.address()))) {
            Await.until(
                    "all know three nodes",
                    () -> knowsNodes(a1, 3) && knowsNodes(a2, 3) && knowsNodes(b1, 3));

            a2.local().setCallsAddress(new NetAddress("127.0.0.1", 4_321));
            a2.backend().announce(announcement());
            Await.until("b1 sees a ready endpoint", () -> state(b1) == BackendState.READY);
            assertEquals(4_321, endpoints(b1).get(0).calls().port());

            a2.backend().drain();
            Await.until("b1 sees it drain", () -> state(b1) == BackendState.DRAINING);

            a2.local().leave();
            assertEquals(MemberState.LEFT, member(b1, "a2").state());
            assertEquals(List.of(), endpoints(b1));
        }
    }

    @Test
    void nodeThatStopsRespondingIsDeclaredDead() {
        try (TestNode a1 = new TestNode("a1", "a", List.of());
                TestNode a2 = new TestNode("a2", "a", List.of(a1.address()))) {
            TestNode a3 = new TestNode("a3", "a", List.of(a1.address()));
            Await.until("all know three nodes", () -> knowsNodes(a1, 3) && knowsNodes(a2, 3));
            a3.close();
            Await.until("a2 finds a3 dead", () -> member(a2, "a3").state() == MemberState.DEAD);
        }
    }

    private static Announcement announcement() {
        return new Announcement(
                FIRM,
                SERVICE,
                new NetAddress("127.0.0.1", 1),
                BackendState.READY,
                20,
                Duration.ofSeconds(30));
    }

    private static boolean knowsNodes(TestNode node, int count) {
        return node.view().all().size() == count;
    }

    private static Member member(TestNode node, String id) {
        return node.view().member(NodeId.fromString(id)).orElseThrow();
    }

    private static List<Endpoint> endpoints(TestNode node) {
        return node.mKernel.service(EndpointView.class).endpoints(FIRM, SERVICE);
    }

    private static BackendState state(TestNode node) {
        List<Endpoint> endpoints = endpoints(node);
        return endpoints.isEmpty() ? BackendState.ABSENT : endpoints.get(0).state();
    }
}
