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
 * Decides when a node reads the join records and when it writes its own. Only a node that finds no
 * other, or that exchanges with other data centres, touches the log, so that its load does not grow
 * with the number of nodes. It is not thread-safe.
 */
final class JoinRecordCore {
    /** How many fresh records a data centre keeps. */
    static final int RECORDS_PER_DATA_CENTRE = 2;

    private static final Duration ALONE_BASE_DELAY = Duration.ofSeconds(1);
    private static final Duration ALONE_MAX_DELAY = Duration.ofSeconds(30);
    private static final long MIN_APPEND_PERIOD_MILLIS = 60_000L;
    private static final int CHECKS_PER_RENEWAL = 8;
    private static final int MAX_RECORDS = 1_024;

    /** What a node is to the others. */
    enum Role {
        /** No other node is reachable. */
        ALONE,
        /** It exchanges with other data centres. */
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

    /** Takes a record that was read. */
    void addRecord(JoinRecord record, long appendedAtMillis) {
        mRecords.remove(record.node());
        if (mRecords.size() >= MAX_RECORDS) {
            mRecords.remove(mRecords.keySet().iterator().next());
        }
        mRecords.put(record.node(), new TimedRecord(record, appendedAtMillis));
    }

    /** Returns where the records say that other nodes are. */
    List<NetAddress> addresses() {
        return mRecords.values().stream()
                .map(dated -> dated.record().peer())
                .filter(peer -> !peer.equals(mOwn.peer()))
                .toList();
    }

    /**
     * Decides, once the newest records have been read, whether this node writes its own. A node
     * that has been alone for one check only waits, since others of its herd may be faster.
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

    /** Notes that this node wrote its record, or may have. */
    void recordAppend(Moment now) {
        mLastAppendMillis = now.millis();
    }

    /** Returns when to look again. */
    Duration nextCheckDelay(Role role) {
        if (role == Role.ALONE) {
            return mAloneBackoff.next();
        }
        mAloneBackoff.reset();
        long period = Math.max(1, mRenewal.toMillis() / CHECKS_PER_RENEWAL);
        return Duration.ofMillis(period / 2 + mRandom.nextLong(period));
    }

    private Map<NodeId, TimedRecord> freshRecords(Moment now) {
        Map<NodeId, TimedRecord> fresh = new HashMap<>(mRecords);
        fresh.values()
                .removeIf(
                        dated ->
                                !dated.record().dataCentre().equals(mOwn.dataCentre())
                                        || isOutdated(dated, now));
        TimedRecord own = fresh.get(mOwn.node());
        if (own != null && !own.record().peer().equals(mOwn.peer())) {
            fresh.remove(mOwn.node());
        }
        return fresh;
    }

    private boolean isOutdated(TimedRecord dated, Moment now) {
        return now.wallMillis() - dated.appendedAtMillis() >= mRenewal.toMillis();
    }
}
