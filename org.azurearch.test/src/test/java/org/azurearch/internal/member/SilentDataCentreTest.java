package org.azurearch.internal.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.ServiceId;
import org.azurearch.member.BackendState;
import org.azurearch.member.Endpoint;
import org.azurearch.member.Member;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SilentDataCentreTest {
    private static final FirmId FIRM = FirmId.fromString("firm");
    private static final ServiceId SERVICE = ServiceId.fromString("service");
    private static final long MINUTE_MILLIS = 60_000;

    private final MemberNetwork mNetwork = new MemberNetwork(5);

    @BeforeEach
    void startTwoDataCentres() {
        for (int i = 0; i < 4; i++) {
            mNetwork.start("a" + i, "a");
            mNetwork.start("b" + i, "b");
        }
        mNetwork.run(10_000);
        announce("a0");
        announce("b0");
        mNetwork.run(2_000);
    }

    @Test
    void partitionedSidesKeepTheirEndpointsAndRegainTheOthersAfterHealing() {
        assertEquals(List.of("a0", "b0"), callable("a3"));
        mNetwork.mPartition = (from, to) -> from.charAt(0) != to.charAt(0);
        mNetwork.run(MINUTE_MILLIS);
        assertEquals(List.of("a0"), callable("a3"));
        assertEquals(List.of("b0"), callable("b3"));
        mNetwork.run(10 * MINUTE_MILLIS);
        assertEquals(List.of("a0"), callable("a3"));

        mNetwork.mPartition = (from, to) -> false;
        long took =
                mNetwork.runUntil(
                        MINUTE_MILLIS, () -> callable("a3").size() + callable("b3").size() == 4);
        assertTrue(took >= 0, "endpoints of the other side not regained");
    }

    @Test
    void changeDuringPartitionIsVisibleAfterHealing() {
        mNetwork.mPartition = (from, to) -> from.charAt(0) != to.charAt(0);
        mNetwork.run(MINUTE_MILLIS);
        mNetwork.kill("b0");
        announce("b1");
        mNetwork.run(MINUTE_MILLIS);
        mNetwork.mPartition = (from, to) -> false;
        long took =
                mNetwork.runUntil(MINUTE_MILLIS, () -> callable("a3").equals(List.of("a0", "b1")));
        assertTrue(took >= 0, "callable: " + callable("a3"));
    }

    private void announce(String node) {
        Member self = mNetwork.core(node).mesh().self();
        Endpoint endpoint =
                new Endpoint(
                        FIRM,
                        SERVICE,
                        self.node(),
                        self.incarnation(),
                        self.dataCentre(),
                        self.region(),
                        self.calls(),
                        BackendState.READY,
                        20,
                        0);
        mNetwork.perform(
                node, mNetwork.core(node).changeEndpoints(List.of(endpoint), mNetwork.now()));
    }

    private List<String> callable(String node) {
        MeshView view = new MeshView(mNetwork.core(node).mesh(), null);
        return view.endpoints(FIRM, SERVICE).stream()
                .map(endpoint -> endpoint.node().name())
                .toList();
    }
}
