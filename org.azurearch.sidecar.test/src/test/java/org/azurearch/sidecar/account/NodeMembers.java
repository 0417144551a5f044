package org.azurearch.sidecar.account;

import java.util.List;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.member.NodeRecord;
import org.azurearch.sidecar.member.NodeTable;
import org.azurearch.sidecar.member.ShareHolders;

/** What a simulated node knows of the others, and its part in what all divide. */
final class NodeMembers {
    static final long GRACE_MILLIS = 6_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final NodeTable mTable;
    private final ShareHolders mHolders;
    private NodeRecord mSelf;

    NodeMembers(String node, long incarnation, long nowMillis) {
        long nowNanos = nowMillis * NANOS_PER_MILLI;
        mTable = new NodeTable(node);
        mHolders = new ShareHolders(mTable, node, GRACE_MILLIS);
        mSelf =
                new NodeRecord(
                        node,
                        "dc",
                        new NetAddress("127.0.0.1", 1),
                        incarnation,
                        0,
                        false,
                        true,
                        null);
        mTable.merge(mSelf, nowNanos);
    }

    NodeRecord self() {
        return mSelf;
    }

    /** Returns the records of all nodes that it knows. */
    List<NodeRecord> records() {
        return List.copyOf(mTable.records());
    }

    boolean leaving(String node) {
        NodeRecord record = mTable.record(node);
        return record == null || record.leaving();
    }

    void leave(long nowMillis) {
        mSelf = mSelf.asLeaving().withVersion(mSelf.incarnation(), mSelf.sequence() + 1);
        mTable.merge(mSelf, nowMillis * NANOS_PER_MILLI);
    }

    void merge(NodeRecord record, long nowMillis) {
        if (!record.node().equals(mSelf.node())) {
            mTable.merge(record, nowMillis * NANOS_PER_MILLI);
        }
    }

    /** Returns the number of nodes that hold a share; 0 if this one holds none. */
    int holders(boolean othersKnown, boolean reached, long nowMillis) {
        mHolders.tick(othersKnown, reached, nowMillis * NANOS_PER_MILLI, nowMillis);
        return mHolders.count();
    }
}
