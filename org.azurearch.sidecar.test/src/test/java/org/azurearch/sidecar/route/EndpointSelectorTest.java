package org.azurearch.sidecar.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.NodeRecord;
import org.junit.jupiter.api.Test;

/** Selection of endpoints under uneven load, distance and failures. */
class EndpointSelectorTest {
    private final EndpointSelector mSelector =
            new EndpointSelector(new SplittableRandom(1), service -> {});
    private final EndpointState mNear = endpoint("near", true);
    private final EndpointState mFar = endpoint("far", false);

    @Test
    void staysInDataCentreWhileSlotsAreFree() {
        for (int i = 0; i < 100; i++) {
            assertEquals(mNear, choose(Set.of()));
        }
    }

    @Test
    void leavesDataCentreIfWaitingThereMissesTarget() {
        mNear.observeLoad(new EndpointLoad(4, List.of(0, 0, 20, 0), 100, 0), 0);
        assertEquals(mFar, choose(Set.of()));
    }

    /** Messages to a saturated VM waited for its processor while its server had free slots. */
    @Test
    void leavesDataCentreWhileMessagesWaitForTheProcessorThere() {
        for (int i = 0; i < 10; i++) {
            mNear.observeDelay(400, 1);
        }
        assertEquals(mFar, choose(Set.of()));
        mNear.observeDelay(1, 2);
        assertTrue(mNear.expectedMillis("r", 2, 100, 0, 3_000_000_000L) < 150);
    }

    @Test
    void avoidsEndpointThatFailsHalfOfItsRequests() {
        for (int i = 0; i < 20; i++) {
            mNear.observeOutcome(mNear.record().backend(), i % 2 == 0, 1);
        }
        assertEquals(mFar, choose(Set.of()));
    }

    @Test
    void urgentRequestStaysWhereItPrecedesWaitingRequests() {
        mNear.observeLoad(new EndpointLoad(4, List.of(0, 0, 20, 0), 100, 0), 0);
        EndpointSelector.Request urgent =
                new EndpointSelector.Request("stock", "r", 0, 200, 500, Set.of());
        assertEquals(mNear, mSelector.choose(List.of(mNear, mFar), urgent, 1));
    }

    @Test
    void staysInDataCentreIfAllEndpointsFailAlike() {
        mNear.observeLoad(new EndpointLoad(3, List.of(0, 0, 0, 0), 100, 55), 0);
        mFar.observeLoad(new EndpointLoad(3, List.of(0, 0, 0, 0), 100, 45), 0);
        for (int i = 0; i < 100; i++) {
            assertEquals(mNear, choose(Set.of()));
        }
    }

    @Test
    void shortRequestStaysInDataCentreIfOnlyLongRequestsAreSlowerThere() {
        mNear.observeLoad(new EndpointLoad(3, List.of(0, 0, 0, 0), 180, 0), 0);
        mFar.observeLoad(new EndpointLoad(3, List.of(0, 0, 0, 0), 60, 0), 0);
        mNear.observeWork(mNear.record().backend(), "short", 33);
        mFar.observeWork(mFar.record().backend(), "short", 11);
        EndpointSelector.Request request =
                new EndpointSelector.Request("stock", "short", 0, 100, 500, Set.of());
        assertEquals(mNear, mSelector.choose(List.of(mNear, mFar), request, 1));
    }

    @Test
    void prefersLocalEndpointToManyRemoteOnesAndSpreadsOverThemIfItIsOverloaded() {
        List<EndpointState> all = new ArrayList<>(List.of(mNear));
        for (int i = 0; i < 60; i++) {
            all.add(endpoint("far-" + i, false));
        }
        EndpointSelector.Request request =
                new EndpointSelector.Request("stock", "r", 2, 300, 5_000, Set.of());
        assertEquals(mNear, mSelector.choose(all, request, 1));
        mNear.observeLoad(new EndpointLoad(4, List.of(0, 0, 20, 0), 100, 0), 0);
        Set<EndpointState> chosen = new HashSet<>();
        for (int i = 0; i < 600; i++) {
            chosen.add(mSelector.choose(all, request, 1));
        }
        assertTrue(chosen.size() > 50, "spread over " + chosen.size());
    }

    @Test
    void excludesTriedAndUnusableEndpoints() {
        assertEquals(mFar, choose(Set.of("near")));
        assertNull(choose(Set.of("near", "far")));
        mNear.setConnected(false);
        mFar.record(record("far", "quimper", 2, false), 1);
        assertNull(choose(Set.of()));
    }

    @Test
    void newEndpointGetsItsShare() {
        EndpointState newcomer = endpoint("newcomer", true);
        mNear.observeLoad(new EndpointLoad(0, List.of(0, 0, 0, 0), 2, 0), 1);
        int toNewcomer = 0;
        for (int i = 0; i < 100; i++) {
            EndpointState chosen =
                    mSelector.choose(
                            List.of(mNear, newcomer),
                            new EndpointSelector.Request("stock", "r", 2, 1_000, 500, Set.of()),
                            1);
            toNewcomer += chosen == newcomer ? 1 : 0;
        }
        assertTrue(toNewcomer > 25, "to the newcomer " + toNewcomer);
    }

    @Test
    void sparesBackendServerThatHasJustStarted() {
        EndpointState twin = endpoint("twin", true);
        BackendRecord cold = new BackendRecord("stock", "i-new", 4, true, 3_000);
        NetAddress address = new NetAddress("127.0.0.1", 7000);
        twin.record(new NodeRecord("twin", "rennes", address, 1, 2, false, true, cold), 1);
        EndpointSelector.Request request =
                new EndpointSelector.Request("stock", "r", 2, 300, 5_000, Set.of());
        assertEquals(mNear, mSelector.choose(List.of(mNear, twin), request, 2));
    }

    @Test
    void prefersEndpointsThatNameNoLimitOnceRequestsWait() {
        EndpointState limited = endpoint("limited", true);
        BackendRecord backend = new BackendRecord("stock", "i-limited", 4, true, 0, 2, 0, false);
        NetAddress address = new NetAddress("127.0.0.1", 7000);
        limited.record(new NodeRecord("limited", "rennes", address, 1, 2, false, true, backend), 1);
        limited.requestStarted(2);
        mNear.requestStarted(2);
        mNear.requestStarted(2);
        EndpointSelector.Request request =
                new EndpointSelector.Request("stock", "r", 2, 300, 5_000, Set.of());
        assertEquals(mNear, mSelector.choose(List.of(mNear, limited), request, 2));
    }

    /** Guards against sending large answers over links that are already full. */
    @Test
    void prefersVmWithRoomOnItsLinkForLargeAnswers() {
        EndpointState twin = endpoint("twin", true);
        EndpointLoad idle = new EndpointLoad(0, List.of(0, 0, 0, 0), 100, 0);
        mNear.observeLoad(idle.withLink(400, 7), 0);
        twin.observeLoad(idle.withLink(0, 7), 0);
        EndpointSelector.Request download =
                new EndpointSelector.Request("stock", "r", 2, 998, 90_000, Set.of());
        assertEquals(twin, mSelector.choose(List.of(mNear, twin), download, 1));
        for (int i = 0; i < 5; i++) {
            twin.answerExpected(90_000);
        }
        assertEquals(mNear, mSelector.choose(List.of(mNear, twin), download, 1));
        long waitHasPassed = 900_000_000L;
        EndpointState wide = endpoint("wide", true);
        wide.observeLoad(idle.withLink(0, 140), waitHasPassed);
        assertEquals(wide, mSelector.choose(List.of(mNear, wide), download, waitHasPassed));
    }

    @Test
    void spreadsEvenlyOverTwoLocalEndpoints() {
        EndpointState twin = endpoint("twin", true);
        int toTwin = 0;
        for (int i = 0; i < 400; i++) {
            EndpointState chosen =
                    mSelector.choose(
                            List.of(mNear, twin),
                            new EndpointSelector.Request("stock", "r", 2, 300, 5_000, Set.of()),
                            1);
            assertTrue(chosen != null);
            toTwin += chosen == twin ? 1 : 0;
        }
        assertTrue(toTwin > 120 && toTwin < 280, "to the twin " + toTwin);
    }

    private EndpointState choose(Set<String> tried) {
        return mSelector.choose(
                List.of(mNear, mFar),
                new EndpointSelector.Request("stock", "r", 2, 300, 5_000, tried),
                1);
    }

    private static EndpointState endpoint(String node, boolean local) {
        EndpointState state =
                new EndpointState(record(node, local ? "rennes" : "quimper", 1, true), local);
        state.setConnected(true);
        return state;
    }

    private static NodeRecord record(String node, String dc, long sequence, boolean ready) {
        BackendRecord backend = new BackendRecord("stock", "i-" + node, 4, ready, 0);
        NetAddress address = new NetAddress("127.0.0.1", 7000);
        return new NodeRecord(node, dc, address, 1, sequence, false, true, backend);
    }
}
