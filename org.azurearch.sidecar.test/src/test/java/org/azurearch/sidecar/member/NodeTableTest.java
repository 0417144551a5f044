package org.azurearch.sidecar.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.azurearch.lib.NetAddress;
import org.junit.jupiter.api.Test;

/** Records that arrive in any order. */
class NodeTableTest {
    @Test
    void neverGoesBack() {
        NodeTable table = new NodeTable("self");
        assertTrue(table.merge(record("a", 2, 3)));
        assertFalse(table.merge(record("a", 2, 2)));
        assertFalse(table.merge(record("a", 1, 9)));
        assertTrue(table.merge(record("a", 3, 0)));
    }

    @Test
    void equalTablesHaveEqualDigestsWhateverTheOrder() {
        NodeTable one = new NodeTable("x");
        NodeTable other = new NodeTable("y");
        one.merge(record("a", 1, 1));
        one.merge(record("b", 1, 1));
        other.merge(record("b", 1, 0));
        other.merge(record("b", 1, 1));
        assertNotEquals(one.digest(), other.digest());
        other.merge(record("a", 1, 1));
        assertEquals(one.digest(), other.digest());
        one.merge(record("c", 1, 1));
        one.remove("c");
        assertEquals(one.digest(), other.digest());
    }

    private static NodeRecord record(String node, long incarnation, long sequence) {
        NetAddress address = new NetAddress("127.0.0.1", 7000);
        return new NodeRecord(node, "rennes", address, incarnation, sequence, false, true, null);
    }
}
