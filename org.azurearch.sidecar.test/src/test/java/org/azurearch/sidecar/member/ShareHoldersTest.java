package org.azurearch.sidecar.member;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.azurearch.lib.NetAddress;
import org.junit.jupiter.api.Test;

/**
 * Guards against shares that add up to more than one as nodes come and go. The rows are those of
 * docs/design/shares.md.
 */
class ShareHoldersTest {
    private static final long GRACE_MILLIS = 6_000;
    private static final long LEASE_MILLIS = ShareHolders.LEASE_MILLIS;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TICK_MILLIS = 100;

    private final NodeTable mTable = new NodeTable("self");
    private final ShareHolders mHolders = new ShareHolders(mTable, "self", GRACE_MILLIS);
    private long mNowMillis;

    ShareHoldersTest() {
        merge(record("self", 1, 0));
    }

    @Test
    void startingNodeHoldsNothingUntilTheOthersHaveCountedItForLease() {
        merge(record("a", 1, 0));
        run(5_000, true, false);
        assertEquals(0, mHolders.count(), "no peer was reached");
        run(LEASE_MILLIS, true, true);
        assertEquals(0, mHolders.count());
        run(TICK_MILLIS, true, true);
        assertEquals(2, mHolders.count());
    }

    @Test
    void nodeThatDoesNotKnowAllOthersHoldsNothing() {
        run(60_000, false, true);
        assertEquals(0, mHolders.count());
        assertEquals(0, mHolders.members());
    }

    @Test
    void startingNodeKnowsHowManyWillHoldShares() {
        merge(record("a", 1, 0));
        run(TICK_MILLIS, true, false);
        assertEquals(2, mHolders.members());
    }

    @Test
    void onlyNodeHoldsAll() {
        run(LEASE_MILLIS + TICK_MILLIS, true, false);
        assertEquals(1, mHolders.count());
    }

    @Test
    void leavingNodeCountsWhileItMayRun() {
        merge(record("a", 1, 0));
        run(2 * LEASE_MILLIS, true, true);
        merge(record("a", 1, 1).asLeaving());
        run(GRACE_MILLIS + LEASE_MILLIS - TICK_MILLIS, true, true);
        assertEquals(2, mHolders.count());
        run(TICK_MILLIS, true, true);
        assertEquals(1, mHolders.count());
    }

    @Test
    void leavingNodeHoldsItsShareUntilItsEnd() {
        merge(record("a", 1, 0));
        run(2 * LEASE_MILLIS, true, true);
        merge(record("self", 1, 1).asLeaving());
        run(GRACE_MILLIS, true, true);
        assertEquals(2, mHolders.count());
    }

    @Test
    void restartedNodeCountsOnce() {
        merge(record("a", 1, 0));
        run(2 * LEASE_MILLIS, true, true);
        merge(record("a", 1, 1).asLeaving());
        merge(record("a", 2, 0));
        run(GRACE_MILLIS + 2 * LEASE_MILLIS, true, true);
        assertEquals(2, mHolders.count());
    }

    /** A killed node and one behind a cut look alike, and the latter spends its share. */
    @Test
    void nodeOutOfReachCountsUntilItsRecordIsRemoved() {
        merge(record("a", 1, 0));
        run(2 * LEASE_MILLIS, true, true);
        run(300_000, true, false);
        assertEquals(2, mHolders.count());
        mTable.remove("a");
        run(TICK_MILLIS, true, false);
        assertEquals(1, mHolders.count());
    }

    @Test
    void nodeThatWakesHoldsNothingForLease() {
        merge(record("a", 1, 0));
        run(2 * LEASE_MILLIS, true, true);
        mNowMillis += 2 * LEASE_MILLIS;
        run(TICK_MILLIS, true, true);
        assertEquals(0, mHolders.count());
        run(LEASE_MILLIS, true, true);
        assertEquals(2, mHolders.count());
    }

    @Test
    void nodeThatWakesWhileLeavingHoldsNothingMore() {
        merge(record("a", 1, 0));
        run(2 * LEASE_MILLIS, true, true);
        merge(record("self", 1, 1).asLeaving());
        mNowMillis += 2 * LEASE_MILLIS;
        run(GRACE_MILLIS, true, true);
        assertEquals(0, mHolders.count());
    }

    private void run(long millis, boolean othersKnown, boolean reached) {
        for (long end = mNowMillis + millis; mNowMillis < end; ) {
            mNowMillis += TICK_MILLIS;
            mHolders.tick(othersKnown, reached, mNowMillis * NANOS_PER_MILLI, mNowMillis);
        }
    }

    private void merge(NodeRecord record) {
        mTable.merge(record, mNowMillis * NANOS_PER_MILLI);
    }

    private static NodeRecord record(String node, long incarnation, long sequence) {
        return new NodeRecord(
                node,
                "dc",
                new NetAddress("127.0.0.1", 1),
                incarnation,
                sequence,
                false,
                true,
                null);
    }
}
