package org.azurearch.sidecar.internal.suspect;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import org.azurearch.internal.call.RequestFingerprint;
import org.azurearch.internal.fold.ThriftBytes;
import org.azurearch.sidecar.Dialect;
import org.azurearch.sidecar.internal.hop.HopWire;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WirePulse;
import org.junit.jupiter.api.Test;

/** Guards against strikes that are sent to peers which have them, or not to those that do not. */
class StrikeExchangeTest {
    private static final int REQUESTS = 100;

    /** One strike in a frame, hashes of one bucket of a hundred requests, and the pulse. */
    private static final int MAX_BYTES_FOR_ONE = 1_500;

    private static final class Node {
        private final SuspectTracker mSuspects =
                new SuspectTracker(new CallFingerprints(dialect()), "n", new MetricRegistry());
        private final StrikeExchange mExchange = new StrikeExchange(mSuspects);

        void strike(int request, String crash) {
            SuspectRegistry registry = new SuspectRegistry();
            mSuspects.merge(
                    registry.strike(request(request), crash, Set.of(), mSuspects.nowMillis()));
        }
    }

    private final Node mOne = new Node();
    private final Node mOther = new Node();
    private int mStrikesSent;
    private int mBytes;

    @Test
    void equalSetsCostOnlyDigests() {
        strikeBoth();
        compare(mOne, mOther);
        assertEquals(0, mStrikesSent);
    }

    @Test
    void eachEndGetsWhatItLacks() {
        strikeBoth();
        mBytes = 0;
        mOne.strike(1_000, "only.one");
        compare(mOne, mOther);
        assertEquals(mOne.mSuspects.digest(), mOther.mSuspects.digest());
        mOther.strike(1_001, "only.other");
        compare(mOne, mOther);
        assertEquals(mOne.mSuspects.digest(), mOther.mSuspects.digest());
        int strikes = request(0).fingerprints().size();
        assertEquals(2 * strikes, mStrikesSent);
        assertTrue(mBytes < 2 * strikes * MAX_BYTES_FOR_ONE, mBytes + " bytes");
    }

    @Test
    void clearedStrikeIsToldToThePeer() {
        strikeBoth();
        mOther.mSuspects.merge(List.of(mOther.mSuspects.entries().get(0).asCleared()));
        compare(mOne, mOther);
        assertEquals(mOne.mSuspects.digest(), mOther.mSuspects.digest());
        assertTrue(mOne.mSuspects.entries().stream().anyMatch(StrikeEntry::cleared));
    }

    /** Guards against a link that is busy for long with the strikes of a node that has none. */
    @Test
    void newNodeGetsThemInParts() {
        for (int i = 0; i < REQUESTS; i++) {
            mOther.strike(i, "crash");
        }
        compare(mOne, mOther);
        assertEquals(64, mStrikesSent);
        for (int i = 0; i < 3; i++) {
            compare(mOther, mOne);
        }
        assertEquals(256, mStrikesSent);
        assertEquals(256, mOne.mSuspects.entries().size());
    }

    @Test
    void peerOfAnEarlierReleaseIsSentTheNewest() {
        mOther.strike(1, "crash");
        WirePulse pulse = new WirePulse(1, 1, false, 1).setStrikeDigest(7);
        Deque<HopFrame> frames = new ArrayDeque<>();
        mOther.mExchange.compare(pulse, frames::add);
        assertEquals(
                mOther.mSuspects.entries().size(),
                frames.remove().getRecords().getStrikes().size());
    }

    private void strikeBoth() {
        for (int i = 0; i < REQUESTS; i++) {
            mOne.strike(i, "crash");
            mOther.strike(i, "crash");
        }
    }

    /** Sends a pulse and all frames that follow from it. */
    private void compare(Node from, Node to) {
        Deque<HopFrame> toFrom = new ArrayDeque<>();
        Deque<HopFrame> toTo = new ArrayDeque<>();
        toTo.add(HopFrame.pulse(from.mExchange.addTo(new WirePulse(1, 1, false, 1))));
        while (!toFrom.isEmpty() || !toTo.isEmpty()) {
            if (toTo.isEmpty()) {
                deliver(toFrom.remove(), from, toTo);
            } else {
                deliver(toTo.remove(), to, toFrom);
            }
        }
    }

    private void deliver(HopFrame frame, Node receiver, Deque<HopFrame> back) {
        mBytes += ThriftBytes.write(frame).length;
        if (frame.isSetPulse()) {
            receiver.mExchange.compare(frame.getPulse(), back::add);
        } else if (frame.isSetStrikeHashes()) {
            receiver.mExchange.received(frame.getStrikeHashes(), back::add);
        } else {
            mStrikesSent += frame.getRecords().getStrikesSize();
            receiver.mSuspects.merge(
                    HopWire.fromWire(
                            frame.getRecords().getStrikes(), receiver.mSuspects.nowMillis()));
        }
    }

    private static RequestFingerprint request(int index) {
        return RequestFingerprint.ofWhole(
                "GET", "/x" + index, "web", new DefaultHttpHeaders(), Set.of(), new byte[0]);
    }

    private static Dialect dialect() {
        return new Dialect(
                "id", "left", "caller", "to", "by", "not-run", "proof", "limit", "leaving", "retry",
                "key", "account", "/ready");
    }
}
