package org.azurearch.sidecar.internal.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.member.NodeRecord;
import org.azurearch.sidecar.member.NodeTable;
import org.junit.jupiter.api.Test;

/** Guards against nodes that nobody tells of a new configuration, and that read it out of turn. */
class NodeOrderTest {
    private static final String DATA_CENTRE = "a";
    private static final int READERS = 2;
    private static final int NODES = 30;

    /** Begins a generation, so that nodes that start within a second belong to the same. */
    private static final long START_MILLIS = 1_800_000_000_000L;

    private static final long LATER_MILLIS = 10_000;

    private final NodeTable mTable = new NodeTable("n0");

    @Test
    void readersPushToNodesThatAreLeaving() {
        for (int i = 0; i < NODES; i++) {
            mTable.merge(record("n" + i), 0);
        }
        mTable.merge(record("n7").asLeaving().withVersion(1, 1), 0);
        List<String> readers = order("n0").readers(DATA_CENTRE, READERS);
        assertEquals(READERS, readers.size());
        Set<String> told = new TreeSet<>();
        for (int i = 0; i < NODES; i++) {
            Set<String> children = order("n" + i).children(DATA_CENTRE, READERS);
            assertEquals(readers.contains("n" + i), children.contains("n7"));
            told.addAll(children);
        }
        assertEquals(NODES, told.size());
    }

    @Test
    void nodeThatIsLeavingHasNoDuties() {
        mTable.merge(record("n0"), 0);
        mTable.merge(record("n1"), 0);
        assertTrue(order("n0").readers(DATA_CENTRE, READERS).contains("n1"));
        mTable.merge(record("n1").asLeaving().withVersion(1, 1), 0);
        assertFalse(order("n0").readers(DATA_CENTRE, READERS).contains("n1"));
        assertEquals(List.of("n0"), order("n0").nodes(DATA_CENTRE, false));
    }

    /** Guards against a node that goes on with what it has while others reach the store. */
    @Test
    void storeIsOutOfReachOnceAllNodesHaveLostIt() {
        mTable.merge(record("n0").withStoreReachable(false), 0);
        mTable.merge(record("n1"), 0);
        mTable.merge(record("n1").asLeaving().withVersion(1, 1), 0);
        assertFalse(order("n0").storeOutOfReach(DATA_CENTRE));
        mTable.merge(record("n1").withStoreReachable(false).withVersion(1, 2), 0);
        assertTrue(order("n0").storeOutOfReach(DATA_CENTRE));
    }

    @Test
    void firstNodeWithStoreSucceedsThoseThatHaveLostIt() {
        mTable.merge(record("n0"), 0);
        mTable.merge(record("n1"), 0);
        List<String> nodes = order("n0").nodes(DATA_CENTRE, false);
        assertFalse(order(nodes.get(0)).succeedsReaders(DATA_CENTRE));
        assertFalse(order(nodes.get(1)).succeedsReaders(DATA_CENTRE));
        mTable.merge(record(nodes.get(0)).withStoreReachable(false).withVersion(1, 1), 0);
        assertTrue(order(nodes.get(1)).succeedsReaders(DATA_CENTRE));
    }

    @Test
    void readersOfAllDataCentresTakeTurns() {
        for (int i = 0; i < NODES; i++) {
            String dataCentre = i == 0 ? "c" : i % 2 == 0 ? "a" : "b";
            mTable.merge(record("n" + i, dataCentre), 0);
        }
        List<String> readers = order("n0").allReaders(READERS);
        List<String> dataCentres =
                readers.stream().map(node -> mTable.record(node).dataCentre()).toList();
        assertEquals(List.of("a", "b", "c", "a", "b"), dataCentres);
        for (int i = 0; i < NODES; i++) {
            assertEquals(readers, order("n" + i).allReaders(READERS));
        }
    }

    @Test
    void nodesThatAreAddedOrRestartedTakeOverNoDuties() {
        for (int i = 0; i < NODES; i++) {
            mTable.merge(record("n" + i).withVersion(START_MILLIS + i, 0), 0);
        }
        List<String> readers = order("n0").readers(DATA_CENTRE, READERS);
        for (int i = NODES; i < 2 * NODES; i++) {
            mTable.merge(record("n" + i).withVersion(START_MILLIS + LATER_MILLIS + i, 0), 0);
        }
        assertEquals(readers, order("n0").readers(DATA_CENTRE, READERS));
        String restarted = readers.get(0);
        mTable.merge(record(restarted).withVersion(START_MILLIS + LATER_MILLIS, 0), 0);
        List<String> then = order("n0").readers(DATA_CENTRE, READERS);
        assertEquals(readers.get(1), then.get(0));
        assertFalse(then.contains(restarted));
    }

    private NodeOrder order(String self) {
        return new NodeOrder(mTable, self, node -> true);
    }

    private static NodeRecord record(String node) {
        return record(node, DATA_CENTRE);
    }

    private static NodeRecord record(String node, String dataCentre) {
        NetAddress address = new NetAddress("127.0.0.1", 1);
        return new NodeRecord(node, dataCentre, address, 1, 0, false, true, null);
    }
}
