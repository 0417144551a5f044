package org.azurearch.sidecar.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.member.BackendTracker.Change;
import org.junit.jupiter.api.Test;

/** Heartbeats that arrive late, out of order, from other runs or from other instances. */
class BackendTrackerTest {
    private static final long NOW = 1_000;
    private static final NetAddress ADDRESS = new NetAddress("127.0.0.1", 8080);

    private final BackendTracker mTracker = new BackendTracker();

    @Test
    void firstHeartbeatMakesReady() {
        assertEquals(Change.CHANGED, mTracker.onHeartbeat(heartbeat("a", 10, 1, false)));
        assertEquals(Change.NONE, mTracker.onHeartbeat(heartbeat("a", 10, 2, false)));
        assertTrue(mTracker.ready());
    }

    @Test
    void lateHeartbeatOfSameRunDoesNotRevokeLeaving() {
        mTracker.onHeartbeat(heartbeat("a", 10, 1, false));
        assertEquals(Change.CHANGED, mTracker.onHeartbeat(heartbeat("a", 10, 5, true)));
        assertEquals(Change.STALE, mTracker.onHeartbeat(heartbeat("a", 10, 4, false)));
        assertFalse(mTracker.ready());
    }

    @Test
    void leavingRunStaysLeaving() {
        mTracker.onHeartbeat(heartbeat("a", 10, 5, true));
        mTracker.onHeartbeat(heartbeat("a", 10, 6, false));
        assertFalse(mTracker.ready());
    }

    @Test
    void departedRunIsNeverRestored() {
        mTracker.onHeartbeat(heartbeat("a", 10, 1, false));
        assertEquals(Change.CHANGED, mTracker.onDeparture("a", 10, NOW));
        assertEquals(Change.STALE, mTracker.onHeartbeat(heartbeat("a", 10, 9, false)));
        assertNull(mTracker.current());
    }

    @Test
    void departedInstanceMayStartAgain() {
        mTracker.onHeartbeat(heartbeat("a", 10, 7, false));
        mTracker.onDeparture("a", 10, NOW);
        assertEquals(Change.CHANGED, mTracker.onHeartbeat(heartbeat("a", 20, 1, false)));
        assertTrue(mTracker.ready());
    }

    @Test
    void delayedHeartbeatOfEarlierInstanceAtSameAddressIsIgnored() {
        mTracker.onHeartbeat(heartbeat("old", 10, 7, false));
        mTracker.onHeartbeat(heartbeat("new", 20, 1, false));
        assertEquals(Change.STALE, mTracker.onHeartbeat(heartbeat("old", 10, 8, false)));
        assertEquals("new", mTracker.record().instance());
    }

    @Test
    void nextHeartbeatMakesUnreachableBackendServerReady() {
        mTracker.onHeartbeat(heartbeat("a", 10, 1, false));
        assertEquals(Change.CHANGED, mTracker.onUnreachable());
        assertEquals(Change.NONE, mTracker.onUnreachable());
        assertFalse(mTracker.ready());
        assertEquals(Change.CHANGED, mTracker.onHeartbeat(heartbeat("a", 10, 2, false)));
        assertTrue(mTracker.ready());
    }

    @Test
    void departureOfOtherRunKeepsCurrentRun() {
        mTracker.onHeartbeat(heartbeat("a", 20, 1, false));
        assertEquals(Change.NONE, mTracker.onDeparture("b", 10, NOW));
        assertEquals(Change.NONE, mTracker.onDeparture("a", 10, NOW));
        assertTrue(mTracker.ready());
    }

    @Test
    void departureWithoutStartCoversEarlierRuns() {
        mTracker.onDeparture("a", 0, NOW);
        assertEquals(Change.STALE, mTracker.onHeartbeat(heartbeat("a", 10, 27, false)));
        assertEquals(Change.CHANGED, mTracker.onHeartbeat(heartbeat("a", NOW + 1, 1, false)));
    }

    @Test
    void departureWithoutStartEndsAssumedRun() {
        BackendRecord remembered = new BackendRecord("stock", "a", 4, true, 0);
        assertEquals(
                Change.CHANGED,
                mTracker.assume(Heartbeat.assumed(remembered, ADDRESS), BackendRecord.NO_LIMIT));
        assertTrue(mTracker.ready());
        assertEquals(Change.CHANGED, mTracker.onDeparture("a", 0, NOW));
        assertEquals(Change.STALE, mTracker.onHeartbeat(heartbeat("a", 10, 27, false)));
        assertFalse(mTracker.ready());
        assertEquals(
                Change.NONE,
                mTracker.assume(Heartbeat.assumed(remembered, ADDRESS), BackendRecord.NO_LIMIT));
    }

    @Test
    void recordOfDepartedRunNamesItAsLeaving() {
        assertNull(mTracker.record());
        mTracker.onHeartbeat(heartbeat("a", 10, 1, false));
        mTracker.onDeparture("a", 0, NOW);
        BackendRecord departed = mTracker.record();
        assertTrue(departed.leaving() && !departed.ready());
        assertEquals(10, departed.startedMillis());
        mTracker.onHeartbeat(heartbeat("a", 11, 1, false));
        assertTrue(mTracker.record().ready());
    }

    @Test
    void publishesLimitOnlyIfItChangesNoticeably() {
        mTracker.onHeartbeat(heartbeat("a", 1, 1, false));
        assertEquals(Change.CHANGED, mTracker.onLimit(10));
        assertEquals(10, mTracker.record().limitPerSecond());
        assertEquals(Change.NONE, mTracker.onLimit(10.5));
        assertEquals(Change.CHANGED, mTracker.onLimit(12));
        assertEquals(12, mTracker.record().limitPerSecond());
        mTracker.onHeartbeat(heartbeat("a", 2, 1, false));
        assertEquals(BackendRecord.NO_LIMIT, mTracker.record().limitPerSecond());
    }

    private static Heartbeat heartbeat(
            String instance, long startedMillis, long sequence, boolean leaving) {
        return new Heartbeat(instance, startedMillis, sequence, "stock", ADDRESS, 4, leaving, 0);
    }
}
