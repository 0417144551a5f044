package org.azurearch.sidecar.internal.mesh;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Readers and followers of one data centre beside a store that answers each read, and messages that
 * are late by any time: nobody decides by a version that was superseded too long ago.
 */
class LeaseModelTest {
    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long APPLY = 2_000 * MS;
    private static final long TICK = 100 * MS;
    private static final long END = 30_000 * MS;
    private static final int READERS = 2;
    private static final int NODES = 6;
    private static final int CHANGE_ONE_IN = 10;
    private static final int ASK_ONE_IN = 3;

    /** One of so many messages is late. */
    private static final int LATE_ONE_IN = 4;

    private static final long USUAL_MILLIS = 20;
    private static final long LATE_MILLIS = 6_000;

    private record Event(long atNanos, Runnable action) {}

    private static final class Node {
        private final ConfigLease mLease = new ConfigLease(APPLY);
        private final StoreWatch mWatch = new StoreWatch(APPLY, 0);
        private int mVersion = -1;
        private int mNewer = -1;
        private long mNewerAsOf;
        private boolean mReading;

        void install(int version) {
            mVersion = Math.max(mVersion, version);
            if (mNewer >= 0 && mNewer <= mVersion) {
                mLease.confirmedByPeer(mNewerAsOf, "peer");
                mNewer = -1;
            }
        }
    }

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>((a, b) -> Long.compare(a.atNanos(), b.atNanos()));

    /** When each version was accepted; the offset of a version is its index. */
    private final List<Long> mAccepted = new ArrayList<>();

    private final List<Node> mNodes = new ArrayList<>();
    private Random mRandom = new Random();
    private long mNow;
    private long mDecisions;
    private long mValid;

    @Property(tries = 300, seed = "71", shrinking = ShrinkingMode.OFF)
    void nobodyDecidesByAnOldVersion(@ForAll Random random) {
        mRandom = random;
        mEvents.clear();
        mAccepted.clear();
        mNodes.clear();
        mDecisions = 0;
        mValid = 0;
        mAccepted.add(0L);
        for (int i = 0; i < NODES; i++) {
            mNodes.add(new Node());
        }
        for (mNow = TICK; mNow < END; mNow += TICK) {
            while (!mEvents.isEmpty() && mEvents.peek().atNanos() <= mNow) {
                mEvents.remove().action().run();
            }
            if (mRandom.nextInt(CHANGE_ONE_IN) == 0) {
                mAccepted.add(mNow);
            }
            for (int i = 0; i < NODES; i++) {
                tick(i);
                check(mNodes.get(i));
            }
        }
        assertTrue(mValid * 10 > mDecisions, mValid + " of " + mDecisions + " may be decided");
    }

    private void check(Node node) {
        mDecisions++;
        if (node.mLease.ended(mNow)) {
            return;
        }
        mValid++;
        boolean newest = node.mVersion == mAccepted.size() - 1;
        long superseded = newest ? mNow : mAccepted.get(node.mVersion + 1);
        assertTrue(mNow - superseded <= APPLY, "version " + node.mVersion + " is old");
    }

    private void tick(int index) {
        Node node = mNodes.get(index);
        if (index < READERS) {
            read(node);
            node.mWatch.tick(mNow, mNow);
            if (node.mWatch.checkDue(node.mLease.ageNanos(mNow), index > 0, mNow)) {
                checkEnd(node);
            }
        }
        if (node.mLease.renewalDue(mNow) || mRandom.nextInt(ASK_ONE_IN) == 0) {
            ask(node, mNodes.get(mRandom.nextInt(READERS)));
        }
    }

    /** Reads all further versions, and pushes the last one to the other nodes. */
    private void read(Node node) {
        if (node.mReading) {
            return;
        }
        node.mReading = true;
        long sent = mNow;
        atStore(
                end -> {
                    node.mReading = false;
                    node.install(end - 1);
                    node.mWatch
                            .readTo(end, sent, true)
                            .ifPresent(asOf -> node.mLease.confirmed(asOf, "read"));
                    mNodes.forEach(peer -> later(() -> peer.install(end - 1)));
                });
    }

    private void checkEnd(Node node) {
        long sent = mNow;
        node.mWatch.checkSent(sent);
        atStore(
                end -> {
                    if (node.mWatch.checkAnswered(sent, end, mNow)) {
                        node.mLease.confirmed(sent, "check");
                    }
                });
    }

    private void ask(Node node, Node peer) {
        long asked = mNow;
        later(
                () -> {
                    int version = peer.mVersion;
                    long age = peer.mLease.ageNanos(mNow);
                    later(() -> replied(node, version, age, asked));
                });
    }

    private static void replied(Node node, int version, long age, long asked) {
        if (age == Long.MAX_VALUE || version < 0) {
            return;
        }
        if (version > node.mVersion) {
            node.mNewer = version;
            node.mNewerAsOf = asked - age;
        } else {
            node.mLease.confirmedByPeer(asked - age, "peer");
        }
    }

    /** Lets the store answer with its end, some time after it was asked. */
    private void atStore(IntConsumer answered) {
        later(
                () -> {
                    int end = mAccepted.size();
                    later(() -> answered.accept(end));
                });
    }

    private void later(Runnable action) {
        boolean late = mRandom.nextInt(LATE_ONE_IN) == 0;
        long delayMillis = 1 + mRandom.nextLong(late ? LATE_MILLIS : USUAL_MILLIS);
        mEvents.add(new Event(mNow + delayMillis * MS, action));
    }
}
