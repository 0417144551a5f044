package org.azurearch.internal.member;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.NodeId;
import org.azurearch.time.Backoff;
import org.jspecify.annotations.Nullable;

/**
 * Decides when a node reads the join records and when it appends its own. Only a node that reaches
 * no peer, or that is a relay, accesses the log, so that the log's load does not grow with the
 * number of nodes. Not thread-safe.
 */
final class JoinRecordCore {
    /** Number of fresh records to maintain per data centre. */
    static final int RECORDS_PER_DATA_CENTRE = 2;

    private static final Duration ALONE_BASE_DELAY = Duration.ofSeconds(1);
    private static final Duration ALONE_MAX_DELAY = Duration.ofSeconds(30);
    private static final long MIN_APPEND_PERIOD_MILLIS = 60_000L;
    private static final int CHECKS_PER_RENEWAL = 8;
    private static final int MAX_RECORDS = 1_024;

    /** The role of a node in the mesh, on which its use of the log depends. */
    enum Role {
        /** No peer is reachable. */
        ALONE,
        /** Synchronises with other data centres. */
        RELAY,
        /** Any other node. */
        ORDINARY
    }

    private record TimedRecord(JoinRecord record, long appendedAtMillis) {}

    private final JoinRecord mOwn;
    private final Duration mRenewal;
    private final RandomGenerator mRandom;
    private final Backoff mAloneBackoff;
    private final Map<NodeId, TimedRecord> mRecords = new LinkedHashMap<>();
    private @Nullable Long mLastAppendMillis;
    private int mChecksAlone;

    JoinRecordCore(JoinRecord own, Duration renewal, RandomGenerator random) {
        mOwn = own;
        mRenewal = renewal;
        mRandom = random;
        mAloneBackoff = new Backoff(ALONE_BASE_DELAY, ALONE_MAX_DELAY, random);
    }

    /** Adds a record that was read from the log. */
    void addRecord(JoinRecord record, long appendedAtMillis) {
        mRecords.remove(record.node());
        if (mRecords.size() >= MAX_RECORDS) {
            mRecords.remove(mRecords.keySet().iterator().next());
        }
        mRecords.put(record.node(), new TimedRecord(record, appendedAtMillis));
    }

    /** Returns the peer addresses in the records, other than this node's. */
    List<NetAddress> addresses() {
        return mRecords.values().stream()
                .map(timed -> timed.record().peer())
                .filter(peer -> !peer.equals(mOwn.peer()))
                .toList();
    }

    /**
     * Returns whether this node should append its own record; called after the newest records have
     * been read. A lone node does not append at its first check, since others that started at the
     * same time may append first.
     */
    boolean shouldAppend(Role role, Moment now) {
        mChecksAlone = role == Role.ALONE ? mChecksAlone + 1 : 0;
        boolean eligible = role == Role.RELAY || mChecksAlone > 1;
        Long lastAppend = mLastAppendMillis;
        boolean appendedRecently =
                lastAppend != null && now.millis() - lastAppend < MIN_APPEND_PERIOD_MILLIS;
        Map<NodeId, TimedRecord> fresh = freshRecords(now);
        return eligible
                && !appendedRecently
                && !fresh.containsKey(mOwn.node())
                && fresh.size() < RECORDS_PER_DATA_CENTRE;
    }

    /** Records that this node has, or may have, appended its record. */
    void recordAppend(Moment now) {
        mLastAppendMillis = now.millis();
    }

    /** Returns the delay until the next check. */
    Duration nextCheckDelay(Role role) {
        if (role == Role.ALONE) {
            return mAloneBackoff.nextDelay();
        }
        mAloneBackoff.reset();
        long period = Math.max(1, mRenewal.toMillis() / CHECKS_PER_RENEWAL);
        return Duration.ofMillis(period / 2 + mRandom.nextLong(period));
    }

    private Map<NodeId, TimedRecord> freshRecords(Moment now) {
        Map<NodeId, TimedRecord> fresh = new HashMap<>(mRecords);
        fresh.values()
                .removeIf(
                        timed ->
                                !timed.record().dataCentre().equals(mOwn.dataCentre())
                                        || isOutdated(timed, now));
        TimedRecord own = fresh.get(mOwn.node());
        if (own != null && !own.record().peer().equals(mOwn.peer())) {
            fresh.remove(mOwn.node());
        }
        return fresh;
    }

    private boolean isOutdated(TimedRecord timed, Moment now) {
        return now.wallMillis() - timed.appendedAtMillis() >= mRenewal.toMillis();
    }
}
