package org.azurearch.sidecar.internal.suspect;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.azurearch.internal.call.RequestFingerprint;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.NodeRecord;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Tells the loss of a VM from a restart of its node and from a link that was cut. */
class PeerLossesTest {
    private static final long START = 1_000;
    private static final long LATER = START + PeerLosses.RETURN_TIME.toMillis();

    private final PeerLosses mLosses = new PeerLosses();
    private final Map<String, NodeRecord> mRecords = new HashMap<>();
    private boolean mUp;
    private boolean mRefuses;
    private final PeerLosses.Peers mPeers =
            new PeerLosses.Peers() {
                @Override
                public @Nullable NodeRecord record(String node) {
                    return mRecords.get(node);
                }

                @Override
                public boolean up(String node) {
                    return mUp;
                }

                @Override
                public boolean refuses(String node) {
                    return mRefuses;
                }
            };

    @Test
    void requestIsStruckOnceItsVmHasNotComeBack() {
        lose();
        assertEquals(List.of(), mLosses.decide(mPeers, LATER - 1));
        List<PeerLosses.Crash> crashes = mLosses.decide(mPeers, LATER);
        assertEquals("lost.n1.7", crashes.get(0).crash());
        assertEquals(START, crashes.get(0).atMillis());
        assertTrue(mLosses.isEmpty());
    }

    @Test
    void linkThatComesBackIsNoLoss() {
        lose();
        mUp = true;
        assertEquals(List.of(), mLosses.decide(mPeers, START + 1));
        assertTrue(mLosses.isEmpty());
    }

    @Test
    void restartOfTheNodeAloneIsNoLoss() {
        lose();
        mRecords.put("n1", record(8, "i-1", 5));
        assertEquals(List.of(), mLosses.decide(mPeers, START + 1));
        assertTrue(mLosses.isEmpty());
    }

    /** Guards against requests that are struck because only the node beside their server ended. */
    @Test
    void restartedNodeThatRemembersItsServerIsNoLoss() {
        lose();
        mRecords.put("n1", record(8, "i-1", 0));
        assertEquals(List.of(), mLosses.decide(mPeers, START + 1));
        assertEquals(List.of(), mLosses.decide(mPeers, LATER));
        assertTrue(mLosses.isEmpty());
    }

    @Test
    void anotherRunOfTheBackendServerTellsOfTheLossAtOnce() {
        lose();
        mRecords.put("n1", record(8, "i-1", 6));
        assertEquals(1, mLosses.decide(mPeers, START + 1).size());
    }

    @Test
    void restartedNodeWithoutBackendServerIsWaitedFor() {
        lose();
        mRecords.put("n1", record(8, null, 0));
        assertEquals(List.of(), mLosses.decide(mPeers, LATER - 1));
        assertEquals(1, mLosses.decide(mPeers, LATER).size());
    }

    /** Guards against suspects of a node that was killed and takes long to start. */
    @Test
    void nodeWhoseVmIsThereIsWaitedFor() {
        lose();
        mRefuses = true;
        assertEquals(List.of(), mLosses.decide(mPeers, LATER));
        mRecords.put("n1", record(8, "i-1", 5));
        assertEquals(List.of(), mLosses.decide(mPeers, LATER + 1));
        assertTrue(mLosses.isEmpty());
    }

    @Test
    void crashBesideNodeThatTakesLongToStartIsStruck() {
        lose();
        mRefuses = true;
        assertEquals(List.of(), mLosses.decide(mPeers, LATER));
        mRecords.put("n1", record(8, "i-1", 6));
        assertEquals(1, mLosses.decide(mPeers, LATER + 1).size());
    }

    @Test
    void nodeThatNeverComesBackToItsVmIsForgotten() {
        lose();
        mRefuses = true;
        long end = START + PeerLosses.LONGEST_RESTART.toMillis();
        assertEquals(List.of(), mLosses.decide(mPeers, end - 1));
        assertFalse(mLosses.isEmpty());
        assertEquals(List.of(), mLosses.decide(mPeers, end));
        assertTrue(mLosses.isEmpty());
    }

    /**
     * Guards against strikes for all requests in flight at a cut: on a mesh of 79 nodes, their
     * exchange used up the processor of each node, so that more links were lost.
     */
    @Test
    void lossOfManyPeersAtOnceIsNoCrash() {
        for (int i = 1; i <= 20; i++) {
            lose("n" + i);
        }
        assertEquals(List.of(), mLosses.decide(mPeers, LATER));
        assertTrue(mLosses.isEmpty());
    }

    private void lose() {
        lose("n1");
    }

    private void lose(String node) {
        NodeRecord peer = record(node, 7, "i-1", 5);
        mRecords.put(node, peer);
        RequestFingerprint request =
                RequestFingerprint.ofWhole(
                        "GET", "/x", "web", new DefaultHttpHeaders(), Set.of(), new byte[0]);
        mLosses.lost(request, peer, peer.backend(), START);
    }

    private static NodeRecord record(long incarnation, @Nullable String instance, long started) {
        return record("n1", incarnation, instance, started);
    }

    private static NodeRecord record(
            String node, long incarnation, @Nullable String instance, long started) {
        BackendRecord backend =
                instance == null
                        ? null
                        : new BackendRecord(
                                "stock",
                                instance,
                                4,
                                true,
                                0,
                                BackendRecord.NO_LIMIT,
                                started,
                                false);
        return new NodeRecord(
                node, "a", new NetAddress("127.0.0.1", 1), incarnation, 0, false, true, backend);
    }
}
