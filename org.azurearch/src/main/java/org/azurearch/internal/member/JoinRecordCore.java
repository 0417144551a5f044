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

    private static final Duration ALONE_BASE = Duration.ofSeconds(1);
    private static final Duration ALONE_MAX = Duration.ofSeconds(30);
    private static final long MIN_APPEND_PERIOD_MILLIS = 60_000L;
    private static final int CHECKS_PER_RENEWAL = 8;
    private static final int MAX_RECORDS = 1_024;

    /** What a node is to the others. */
    enum Standing {
        /** No other node is reachable. */
        ALONE,
        /** It exchanges with other data centres. */
        RELAY,
        /** Any other node. */
        ORDINARY
    }

    private record Dated(JoinRecord record, long appendedAtMillis) {}

    private final JoinRecord mOwn;
    private final Duration mRenewal;
    private final RandomGenerator mRandom;
    private final Backoff mAloneDelays;
    private final Map<NodeId, Dated> mRecords = new LinkedHashMap<>();
    private @Nullable Long mAppendedMillis;
    private int mChecksAlone;

    JoinRecordCore(JoinRecord own, Duration renewal, RandomGenerator random) {
        mOwn = own;
        mRenewal = renewal;
        mRandom = random;
        mAloneDelays = new Backoff(ALONE_BASE, ALONE_MAX, random);
    }

    /** Takes a record that was read. */
    void read(JoinRecord record, long appendedAtMillis) {
        mRecords.remove(record.node());
        if (mRecords.size() >= MAX_RECORDS) {
            mRecords.remove(mRecords.keySet().iterator().next());
        }
        mRecords.put(record.node(), new Dated(record, appendedAtMillis));
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
    boolean shouldAppend(Standing standing, Moment now) {
        mChecksAlone = standing == Standing.ALONE ? mChecksAlone + 1 : 0;
        boolean eligible = standing == Standing.RELAY || mChecksAlone > 1;
        Long appended = mAppendedMillis;
        boolean lately = appended != null && now.millis() - appended < MIN_APPEND_PERIOD_MILLIS;
        Map<NodeId, Dated> fresh = freshRecords(now);
        return eligible
                && !lately
                && !fresh.containsKey(mOwn.node())
                && fresh.size() < RECORDS_PER_DATA_CENTRE;
    }

    /** Notes that this node wrote its record, or may have. */
    void appended(Moment now) {
        mAppendedMillis = now.millis();
    }

    /** Returns when to look again. */
    Duration nextCheck(Standing standing) {
        if (standing == Standing.ALONE) {
            return mAloneDelays.nextDelay();
        }
        mAloneDelays.reset();
        long period = Math.max(1, mRenewal.toMillis() / CHECKS_PER_RENEWAL);
        return Duration.ofMillis(period / 2 + mRandom.nextLong(period));
    }

    private Map<NodeId, Dated> freshRecords(Moment now) {
        Map<NodeId, Dated> fresh = new HashMap<>(mRecords);
        fresh.values()
                .removeIf(
                        dated ->
                                !dated.record().dataCentre().equals(mOwn.dataCentre())
                                        || outdated(dated, now));
        Dated own = fresh.get(mOwn.node());
        if (own != null && !own.record().peer().equals(mOwn.peer())) {
            fresh.remove(mOwn.node());
        }
        return fresh;
    }

    private boolean outdated(Dated dated, Moment now) {
        return now.wallMillis() - dated.appendedAtMillis() >= mRenewal.toMillis();
    }
}
