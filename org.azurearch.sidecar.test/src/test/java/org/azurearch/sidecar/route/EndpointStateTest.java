package org.azurearch.sidecar.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.NodeRecord;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What is observed of a backend server when another run of it takes its place. */
class EndpointStateTest {
    private final BackendRecord mFirst = backend("i", 1);
    private final EndpointState mEndpoint = new EndpointState(node(mFirst, 1), true);

    @BeforeEach
    void observeFailure() {
        mEndpoint.observeOutcome(mFirst, true, 1);
        mEndpoint.observeWork(mFirst, "route", 50);
    }

    /** Guards against a server that is avoided for failures of its earlier run. */
    @Test
    void serverThatRestartsUnderItsIdStartsWithoutFailures() {
        mEndpoint.record(node(backend("i", 2), 2), 1);
        assertEquals(0, mEndpoint.failureRate(1));
        assertEquals(0, mEndpoint.workMillis("route"));
    }

    /** Guards against late outcomes of an earlier run that count for the present one. */
    @Test
    void outcomeOfAnEarlierRunIsIgnored() {
        mEndpoint.record(node(backend("j", 2), 2), 1);
        mEndpoint.observeOutcome(mFirst, true, 1);
        mEndpoint.observeWork(mFirst, "route", 50);
        assertEquals(0, mEndpoint.failureRate(1));
        assertEquals(0, mEndpoint.workMillis("route"));
    }

    @Test
    void failuresStayWhenTheNodeRemembersTheRunWithoutItsStart() {
        mEndpoint.record(node(backend("i", 0), 2), 1);
        assertTrue(mEndpoint.failureRate(1) > 0);
        assertEquals(50, mEndpoint.workMillis("route"));
    }

    private static BackendRecord backend(String instance, long startedMillis) {
        return new BackendRecord(
                "stock", instance, 4, true, 0, BackendRecord.NO_LIMIT, startedMillis, false);
    }

    private static NodeRecord node(BackendRecord backend, long sequence) {
        return new NodeRecord(
                "node",
                "rennes",
                new NetAddress("127.0.0.1", 1),
                1,
                sequence,
                false,
                true,
                backend,
                0);
    }
}
