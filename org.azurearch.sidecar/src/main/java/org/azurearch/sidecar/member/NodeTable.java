package org.azurearch.sidecar.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.azurearch.internal.member.Hashes;
import org.jspecify.annotations.Nullable;

/** The newest record of every node. Confined to one thread. */
public final class NodeTable {
    /** Time after which a change has reached all reachable nodes: 4 seconds. */
    private static final long RECENT_CHANGE_NANOS = 4_000_000_000L;

    private final String mSelf;
    private final Map<String, NodeRecord> mRecords = new TreeMap<>();
    private final Map<String, NodeRecord> mEarlierRuns = new HashMap<>();
    private final Map<String, Long> mChangedNanos = new HashMap<>();
    private long mDigest;

    /**
     * Creates a table.
     *
     * @param self the name of this node, whose record is never removed because only this node
     *     creates it
     */
    public NodeTable(String self) {
        mSelf = self;
    }

    /**
     * Stores a record if it is newer than the known one; returns whether it is.
     *
     * @param nowNanos the time, on the steady clock
     */
    public boolean merge(NodeRecord record, long nowNanos) {
        NodeRecord known = mRecords.get(record.node());
        if (known != null && !record.newerThan(known)) {
            return false;
        }
        if (known == null && record.leaving() && !record.node().equals(mSelf)) {
            return false; // it would be added again by those that remove it later
        }
        if (known != null) {
            mDigest -= hash(known);
            keepEarlierRun(known, record);
        }
        mDigest += hash(record);
        mRecords.put(record.node(), record);
        mChangedNanos.put(record.node(), nowNanos);
        return true;
    }

    /** Removes the record of another node; has no effect for this node. */
    public void remove(String node) {
        NodeRecord known = node.equals(mSelf) ? null : mRecords.remove(node);
        if (known != null) {
            mDigest -= hash(known);
            mChangedNanos.remove(node);
            mEarlierRuns.remove(node);
        }
    }

    /** Returns the records that were stored since a time on the steady clock. */
    public List<NodeRecord> changedSince(long nanos) {
        List<NodeRecord> changed = new ArrayList<>(mRecords.values());
        changed.removeIf(record -> mChangedNanos.getOrDefault(record.node(), nanos) - nanos < 0);
        return changed;
    }

    /**
     * Returns the records that a peer with a different table may lack: the recent changes, or all
     * records if those do not explain the difference.
     *
     * @param members the number of nodes that the peer knows
     * @param nowNanos the time, on the steady clock
     */
    public List<NodeRecord> missing(int members, long nowNanos) {
        List<NodeRecord> recent = changedSince(nowNanos - RECENT_CHANGE_NANOS);
        boolean explained = !recent.isEmpty() && members >= mRecords.size() - recent.size();
        return explained ? recent : new ArrayList<>(mRecords.values());
    }

    /** Returns the other nodes that have been leaving since before a time on the steady clock. */
    public List<NodeRecord> leavingSince(long nanos) {
        List<NodeRecord> leaving = new ArrayList<>(mRecords.values());
        leaving.removeIf(
                record ->
                        !record.leaving()
                                || record.node().equals(mSelf)
                                || mChangedNanos.getOrDefault(record.node(), nanos) - nanos > 0);
        return leaving;
    }

    /** Returns when the record of a known node was stored, on the steady clock. */
    long changedNanos(String node) {
        return mChangedNanos.getOrDefault(node, 0L);
    }

    /** Returns the record of a node, or null if there is none. */
    public @Nullable NodeRecord record(String node) {
        return mRecords.get(node);
    }

    /**
     * Returns the last record with a backend server of an earlier run of a node, or null if the
     * present run has named a backend server itself.
     */
    public @Nullable NodeRecord earlierRun(String node) {
        return mEarlierRuns.get(node);
    }

    /** Returns all records. */
    public Collection<NodeRecord> records() {
        return mRecords.values();
    }

    /** Returns a digest of all records; equal tables have equal digests. */
    public long digest() {
        return mDigest;
    }

    private void keepEarlierRun(NodeRecord known, NodeRecord record) {
        if (record.backend() != null) {
            mEarlierRuns.remove(record.node());
        } else if (record.incarnation() != known.incarnation() && known.backend() != null) {
            mEarlierRuns.put(record.node(), known);
        }
    }

    /** Nodes that are leaving do not count, as they are removed at different times. */
    private static long hash(NodeRecord record) {
        return record.leaving()
                ? 0
                : Hashes.of(record.node(), record.incarnation(), record.sequence());
    }
}
