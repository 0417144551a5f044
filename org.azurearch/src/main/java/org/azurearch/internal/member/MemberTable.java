package org.azurearch.internal.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.NodeId;
import org.azurearch.member.Member;
import org.azurearch.member.MemberState;
import org.jspecify.annotations.Nullable;

/** The member records, with incremental hashes over the reachable ones. */
final class MemberTable {
    /** Number of hash buckets that the nodes are divided into. */
    static final int BUCKETS = 64;

    /**
     * A record and when it was stored, by the local clock.
     *
     * @param member the record
     * @param sinceMillis when the record was stored
     */
    record Row(Member member, long sinceMillis) {}

    private final int mMaxMembers;
    private final Map<NodeId, Row> mRows = new TreeMap<>();
    private final Map<NodeId, Row> mSuspects = new HashMap<>();
    private final Map<NodeId, Row> mTombstones = new HashMap<>();
    private final Map<DataCentreId, Map<NodeId, Member>> mReachable = new TreeMap<>();
    private final long[] mBucketHashes = new long[BUCKETS];

    MemberTable(int maxMembers) {
        mMaxMembers = maxMembers;
    }

    /**
     * Stores a record if it is newer than the current one. An unknown node is added only if it is
     * reachable and the table is not full.
     *
     * @return whether the record was stored
     */
    boolean merge(Member member, long nowMillis) {
        Row current = mRows.get(member.node());
        if (current == null) {
            if (!member.reachable() || mRows.size() >= mMaxMembers) {
                return false;
            }
        } else if (!MemberVersion.of(member).supersedes(MemberVersion.of(current.member()))) {
            return false;
        }
        remove(current);
        put(new Row(member, nowMillis));
        return true;
    }

    /** Returns the record of a node, or null. */
    @Nullable Member member(NodeId node) {
        Row row = mRows.get(node);
        return row == null ? null : row.member();
    }

    /** Returns the row of a node, or null. */
    @Nullable Row row(NodeId node) {
        return mRows.get(node);
    }

    /** Returns all records, sorted by node. */
    List<Member> all() {
        List<Member> members = new ArrayList<>(mRows.size());
        mRows.values().forEach(row -> members.add(row.member()));
        return members;
    }

    /** Returns the reachable members of a data centre, sorted by node. */
    List<Member> reachable(DataCentreId dataCentre) {
        Map<NodeId, Member> members = mReachable.get(dataCentre);
        return members == null ? new ArrayList<>() : new ArrayList<>(members.values());
    }

    /** Returns the number of reachable members of a data centre. */
    int reachableCount(DataCentreId dataCentre) {
        Map<NodeId, Member> members = mReachable.get(dataCentre);
        return members == null ? 0 : members.size();
    }

    /** Returns the data centres that have reachable members, sorted. */
    List<DataCentreId> dataCentres() {
        return new ArrayList<>(mReachable.keySet());
    }

    /** Returns the number of records. */
    int size() {
        return mRows.size();
    }

    /** Returns the rows of suspected nodes. */
    Collection<Row> suspects() {
        return List.copyOf(mSuspects.values());
    }

    /** Returns the records of nodes that died or left. */
    List<Member> tombstones() {
        return mTombstones.values().stream().map(Row::member).toList();
    }

    /** Removes records of nodes that died or left before a time; returns whether there were any. */
    boolean removeTombstonesBefore(long millis) {
        List<Row> expired =
                mTombstones.values().stream().filter(row -> row.sinceMillis() < millis).toList();
        expired.forEach(this::remove);
        return !expired.isEmpty();
    }

    /** Returns the hash over all reachable records. */
    long hash() {
        long sum = 0;
        for (long hash : mBucketHashes) {
            sum += hash;
        }
        return sum;
    }

    /** Returns the hash of each bucket. */
    long[] bucketHashes() {
        return mBucketHashes.clone();
    }

    /** Returns the records in some buckets, including those of nodes that died or left. */
    List<Member> inBuckets(Set<Integer> buckets) {
        List<Member> members = new ArrayList<>();
        for (Row row : mRows.values()) {
            if (buckets.contains(bucketOf(row.member().node()))) {
                members.add(row.member());
            }
        }
        return members;
    }

    private static int bucketOf(NodeId node) {
        return (int) Math.floorMod(Hashes.of(node.name()), (long) BUCKETS);
    }

    private void put(Row row) {
        Member member = row.member();
        mRows.put(member.node(), row);
        if (member.reachable()) {
            mBucketHashes[bucketOf(member.node())] += Hashes.of(member);
            mReachable
                    .computeIfAbsent(member.dataCentre(), key -> new TreeMap<>())
                    .put(member.node(), member);
        } else {
            mTombstones.put(member.node(), row);
        }
        if (member.state() == MemberState.SUSPECT) {
            mSuspects.put(member.node(), row);
        }
    }

    private void remove(@Nullable Row row) {
        if (row == null) {
            return;
        }
        Member member = row.member();
        mRows.remove(member.node());
        mSuspects.remove(member.node());
        mTombstones.remove(member.node());
        if (member.reachable()) {
            mBucketHashes[bucketOf(member.node())] -= Hashes.of(member);
            mReachable.computeIfPresent(
                    member.dataCentre(), (key, members) -> without(members, member.node()));
        }
    }

    private static @Nullable Map<NodeId, Member> without(Map<NodeId, Member> members, NodeId node) {
        members.remove(node);
        return members.isEmpty() ? null : members;
    }
}
