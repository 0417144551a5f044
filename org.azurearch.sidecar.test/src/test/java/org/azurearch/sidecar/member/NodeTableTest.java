package org.azurearch.sidecar.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.azurearch.lib.NetAddress;
import org.junit.jupiter.api.Test;

/** Merging of records that arrive in any order. */
class NodeTableTest {
    private static final BackendRecord BACKEND =
            new BackendRecord("stock", "i-1", 4, true, 0, BackendRecord.NO_LIMIT, 1, false);

    @Test
    void olderRecordIsIgnored() {
        NodeTable table = new NodeTable("self");
        assertTrue(table.merge(record("a", 2, 3), 0));
        assertFalse(table.merge(record("a", 2, 2), 0));
        assertFalse(table.merge(record("a", 1, 9), 0));
        assertTrue(table.merge(record("a", 3, 0), 0));
    }

    @Test
    void equalTablesHaveEqualDigestsInAnyOrder() {
        NodeTable one = new NodeTable("x");
        NodeTable other = new NodeTable("y");
        one.merge(record("a", 1, 1), 0);
        one.merge(record("b", 1, 1), 0);
        other.merge(record("b", 1, 0), 0);
        other.merge(record("b", 1, 1), 0);
        assertNotEquals(one.digest(), other.digest());
        other.merge(record("a", 1, 1), 0);
        assertEquals(one.digest(), other.digest());
        one.merge(record("c", 1, 1), 0);
        one.remove("c");
        assertEquals(one.digest(), other.digest());
    }

    @Test
    void returnsRecordsChangedSinceTime() {
        NodeTable table = new NodeTable("self");
        NodeRecord old = record("a", 1, 1);
        NodeRecord recent = record("b", 1, 1);
        table.merge(old, 100);
        table.merge(recent, 200);
        assertEquals(List.of(recent), table.changedSince(150));
        NodeRecord again = record("a", 1, 2);
        table.merge(again, 300);
        assertEquals(List.of(again, recent), table.changedSince(150));
        assertEquals(List.of(), table.changedSince(301));
    }

    @Test
    void keepsBackendOfEarlierRunUntilPresentRunNamesOne() {
        NodeTable table = new NodeTable("self");
        NodeRecord first = record("a", 1, 1).withBackend(BACKEND);
        table.merge(first, 0);
        assertNull(table.earlierRun("a"));
        table.merge(record("a", 2, 0), 0);
        table.merge(record("a", 3, 0), 0);
        assertEquals(first, table.earlierRun("a"));
        table.merge(record("a", 3, 1).withBackend(BACKEND), 0);
        assertNull(table.earlierRun("a"));
    }

    private static NodeRecord record(String node, long incarnation, long sequence) {
        NetAddress address = new NetAddress("127.0.0.1", 7000);
        return new NodeRecord(node, "rennes", address, incarnation, sequence, false, true, null);
    }
}
