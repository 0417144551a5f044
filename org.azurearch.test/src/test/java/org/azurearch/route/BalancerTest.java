package org.azurearch.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.NodeId;
import org.azurearch.lib.RegionId;
import org.azurearch.lib.ServiceId;
import org.azurearch.member.BackendState;
import org.azurearch.member.Endpoint;
import org.junit.jupiter.api.Test;

/** Tests load balancing with seeded randomness and a manual clock. */
class BalancerTest {
    private static final long MILLI = 1_000_000L;
    private static final int SLOTS = 6;

    private final SplittableRandom mRandom = new SplittableRandom(7);
    private long mNowNanos = 1_000 * MILLI;

    @Test
    void localEndpointsArePreferredUntilFull() {
        List<EndpointLoad> local = loads("local", 2, 0);
        List<EndpointLoad> near = loads("near", 2, 0);
        Candidates candidates = new Candidates(local, near, List.of(), 0);
        Balancer balancer = new PowerOfTwoBalancer();
        for (int i = 0; i < 2 * SLOTS; i++) {
            EndpointLoad load = balancer.choose(candidates, context());
            assertTrue(local.contains(load), "call " + i);
            load.callStarted();
        }
        assertTrue(near.contains(balancer.choose(candidates, context())));
    }

    @Test
    void reportedLoadCountsAndDecays() {
        EndpointLoad load = loads("a", 1, 0).get(0);
        load.callStarted();
        load.recordReport(0, mNowNanos);
        assertEquals(SLOTS, load.estimatedCalls(mNowNanos), 0.01);
        assertTrue(load.saturated(mNowNanos));
        load.callEnded();
        assertEquals((SLOTS - 1) / 2.0, load.estimatedCalls(mNowNanos + 500 * MILLI), 0.01);
        assertEquals(0, load.estimatedCalls(mNowNanos + 2_000 * MILLI), 0.01);
    }

    @Test
    void endpointInSlowStartGetsFewerCalls() {
        List<EndpointLoad> loads = new ArrayList<>(loads("warm", 1, 0));
        loads.addAll(loads("cold", 1, 9_000));
        Candidates candidates = new Candidates(loads, List.of(), List.of(), 10_000);
        int cold = 0;
        List<EndpointLoad> running = new ArrayList<>();
        for (int i = 0; i < SLOTS; i++) {
            EndpointLoad load = new PowerOfTwoBalancer().choose(candidates, context());
            load.callStarted();
            running.add(load);
            cold += load == loads.get(1) ? 1 : 0;
        }
        assertTrue(cold <= 1, "calls to the cold endpoint: " + cold);
    }

    @Test
    void ejectedAndExcludedEndpointsAreNotChosen() {
        List<EndpointLoad> loads = loads("a", 3, 0);
        for (int i = 0; i < OutlierPolicy.DEFAULT.consecutiveFailures() - 1; i++) {
            assertFalse(loads.get(0).recordFailure());
        }
        assertTrue(loads.get(0).recordFailure());
        loads.get(0).eject(mNowNanos);
        Candidates candidates = new Candidates(loads, List.of(), List.of(), 0);
        Set<NodeId> excluded = Set.of(loads.get(1).endpoint().node());
        for (int i = 0; i < 20; i++) {
            ChoiceContext context = new ChoiceContext(mNowNanos, 10_000, excluded, mRandom);
            assertEquals(loads.get(2), new PowerOfTwoBalancer().choose(candidates, context));
        }
        assertFalse(loads.get(0).ejected(mNowNanos + 3_000 * MILLI));
    }

    @Test
    void ejectedEndpointIsChosenWhenNoOtherIsLeft() {
        List<EndpointLoad> loads = loads("a", 1, 0);
        loads.get(0).eject(mNowNanos);
        Candidates candidates = new Candidates(loads, List.of(), List.of(), 0);
        assertEquals(loads.get(0), new PowerOfTwoBalancer().choose(candidates, context()));
        Candidates none = new Candidates(List.of(), List.of(), List.of(), 0);
        assertNull(new PowerOfTwoBalancer().choose(none, context()));
    }

    @Test
    void underLaggingReportsTwoChoicesSpreadBetterThanLeastLoaded() {
        int two = mostCallsAtOneEndpoint(new PowerOfTwoBalancer());
        int least = mostCallsAtOneEndpoint(new LeastLoadedBalancer());
        assertTrue(two < least, "two choices " + two + ", least loaded " + least);
    }

    @Test
    void budgetLimitsRetries() {
        RetryBudget budget = new RetryBudget();
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.recordFirstAttempt(10);
            retries += budget.tryTake() ? 1 : 0;
        }
        assertTrue(retries <= 103 && retries >= 100, "retries " + retries);
    }

    /** Returns the most calls that one endpoint gets when many senders act on the same report. */
    private int mostCallsAtOneEndpoint(Balancer balancer) {
        Map<String, Integer> hits = new HashMap<>();
        for (int sender = 0; sender < 40; sender++) {
            List<EndpointLoad> loads = loads("a", 10, 0);
            for (int i = 0; i < loads.size(); i++) {
                loads.get(i).recordReport(i == 3 ? SLOTS : SLOTS / 2, mNowNanos);
            }
            Candidates candidates = new Candidates(loads, List.of(), List.of(), 0);
            EndpointLoad load = balancer.choose(candidates, context());
            hits.merge(load.endpoint().node().name(), 1, Integer::sum);
        }
        return hits.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    private ChoiceContext context() {
        return new ChoiceContext(mNowNanos, 10_000, Set.of(), mRandom);
    }

    private static List<EndpointLoad> loads(String name, int count, long readySinceMillis) {
        List<EndpointLoad> loads = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Endpoint endpoint =
                    new Endpoint(
                            FirmId.fromString("regie"),
                            ServiceId.fromString("stock"),
                            NodeId.fromString(name + i),
                            1,
                            DataCentreId.fromString("rennes"),
                            RegionId.fromString("bretagne"),
                            new NetAddress("127.0.0.1", 1),
                            BackendState.READY,
                            SLOTS,
                            readySinceMillis);
            loads.add(new EndpointLoad(endpoint, OutlierPolicy.DEFAULT));
        }
        return loads;
    }
}
