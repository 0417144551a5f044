package org.azurearch.internal.member;

import java.util.List;
import org.approvaltests.Approvals;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.ServiceId;
import org.azurearch.member.BackendState;
import org.azurearch.member.Endpoint;
import org.azurearch.member.Member;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Compares traces of whole sessions on a manual clock with approved files. */
class MemberSessionTest {
    private final MemberNetwork mNetwork = new MemberNetwork(7);

    @BeforeEach
    void joinThreeNodes() {
        mNetwork.mTracing = true;
        mNetwork.start("a1", "a");
        mNetwork.start("a2", "a");
        mNetwork.start("a3", "a");
        mNetwork.run(5_000);
    }

    @Test
    void joinAndLeave() {
        step("a2 announces a backend server, then drains it");
        endpoint("a2", BackendState.READY);
        mNetwork.run(1_000);
        endpoint("a2", BackendState.DRAINING);
        mNetwork.run(1_000);
        step("a2 leaves");
        for (Member recipient : mNetwork.core("a2").leave(8, mNetwork.now())) {
            mNetwork.trace("a2 tells " + recipient.node());
        }
        mNetwork.perform("a2", mNetwork.core("a2").flushEffects(mNetwork.now()));
        mNetwork.run(500);
        mNetwork.kill("a2");
        mNetwork.run(10_000);
        approve();
    }

    @Test
    void suspicionIsRefuted() {
        step("nothing reaches a3");
        mNetwork.mPartition = (from, to) -> to.equals("a3");
        mNetwork.run(1_500);
        mNetwork.mPartition = (from, to) -> false;
        step("the cut ends");
        mNetwork.run(5_000);
        approve();
    }

    @Test
    void deathAndReturn() {
        step("a3 is killed");
        mNetwork.kill("a3");
        mNetwork.run(10_000);
        step("a3 returns");
        mNetwork.start("a3", "a");
        mNetwork.run(5_000);
        approve();
    }

    @Test
    void quickRestart() {
        step("a3 is killed and returns at once");
        mNetwork.kill("a3");
        mNetwork.start("a3", "a");
        mNetwork.run(10_000);
        approve();
    }

    @Test
    void partitionAndHealing() {
        mNetwork.start("b1", "b");
        mNetwork.run(10_000);
        step("a3 is cut off");
        mNetwork.mPartition = (from, to) -> from.equals("a3") != to.equals("a3");
        mNetwork.run(15_000);
        step("the cut ends");
        mNetwork.mPartition = (from, to) -> false;
        mNetwork.run(30_000);
        approve();
    }

    @Test
    void crossedUpdates() {
        Member ready = endpointRecord("a2", BackendState.READY, 1);
        Member draining = endpointRecord("a2", BackendState.DRAINING, 2);
        step("a1 gets the later record first");
        mNetwork.perform(
                "a1", mNetwork.core("a1").handleGossip(Gossip.of(draining), mNetwork.now()));
        mNetwork.perform("a1", mNetwork.core("a1").handleGossip(Gossip.of(ready), mNetwork.now()));
        mNetwork.run(3_000);
        approve();
    }

    private Member endpointRecord(String node, BackendState state, int later) {
        Member self = mNetwork.core(node).mesh().self();
        Endpoint endpoint =
                new Endpoint(
                        FirmId.fromString("firm"),
                        ServiceId.fromString("service"),
                        self.node(),
                        self.incarnation(),
                        self.dataCentre(),
                        self.region(),
                        self.calls(),
                        state,
                        1,
                        0);
        return Members.withEndpoints(self, List.of(endpoint), self.sequence() + later);
    }

    private void endpoint(String node, BackendState state) {
        List<Endpoint> endpoints = endpointRecord(node, state, 1).endpoints();
        mNetwork.perform(node, mNetwork.core(node).changeEndpoints(endpoints, mNetwork.now()));
    }

    private void step(String text) {
        mNetwork.trace("-- " + text);
    }

    private void approve() {
        Approvals.verify(String.join("\n", mNetwork.mTrace) + "\n");
    }
}
