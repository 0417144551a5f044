package org.azurearch.sidecar.internal.suspect;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.azurearch.internal.call.RequestFingerprint;
import org.azurearch.sidecar.Dialect;
import org.azurearch.sidecar.call.HopCall;
import org.junit.jupiter.api.Test;

/** Guards against a mesh that is busy as each node tells all others what each of them clears. */
class ClearedStrikesTest {
    private static final int NODES = 60;

    /** Nodes that may tell of the same fact, as their messages cross. */
    private static final int MAX_TELLERS = NODES / 10;

    private final List<SuspectTracker> mNodes = new ArrayList<>();
    private final Deque<List<StrikeEntry>> mOnTheWay = new ArrayDeque<>();
    private int mTellers;

    @Test
    void strikesThatAllNodesClearAreToldByFew() {
        for (int i = 0; i < NODES; i++) {
            mNodes.add(node(i));
        }
        mNodes.forEach(node -> node.completed(call(), "r"));
        List<StrikeEntry> strikes = new ArrayList<>();
        SuspectRegistry elsewhere = new SuspectRegistry();
        long now = mNodes.get(0).nowMillis();
        strikes.addAll(elsewhere.strike(request("one"), "lost.a.1", Set.of(), now));
        strikes.addAll(elsewhere.strike(request("other"), "lost.b.1", Set.of(), now));
        mNodes.forEach(node -> node.merge(strikes));
        deliver();
        // Nodes tick at different times, and messages arrive within a small part of an interval.
        Collections.shuffle(mNodes, new Random(71));
        for (SuspectTracker node : List.copyOf(mNodes)) {
            node.tick();
            deliver();
        }
        assertTrue(mTellers >= 1, "nobody tells of it");
        assertTrue(mTellers <= MAX_TELLERS, mTellers + " of " + NODES + " nodes tell of it");
        long digest = mNodes.get(0).digest();
        mNodes.forEach(node -> assertEquals(digest, node.digest()));
    }

    /**
     * Returns one of several requests to a path, which only their path and caller have in common.
     */
    private static RequestFingerprint request(String body) {
        return RequestFingerprint.ofWhole(
                "GET", "/x", "web", new DefaultHttpHeaders(), Set.of(), body.getBytes());
    }

    private void deliver() {
        while (!mOnTheWay.isEmpty()) {
            List<StrikeEntry> told = mOnTheWay.remove();
            mNodes.forEach(node -> node.merge(told));
        }
    }

    private static HopCall call() {
        List<String> headers = List.of("caller", "web");
        return new HopCall(1, "GET", "/x", headers, new byte[0], 0, 0, 1, "s", "r", true);
    }

    private static Dialect dialect() {
        return new Dialect(
                "id", "left", "caller", "to", "by", "not-run", "proof", "limit", "leaving", "retry",
                "key", "account", "/ready");
    }

    private SuspectTracker node(int index) {
        SuspectTracker node =
                new SuspectTracker(
                        new CallFingerprints(dialect()), "n" + index, new MetricRegistry());
        node.attach(
                new SuspectTracker.Publisher() {
                    @Override
                    public void publish(List<StrikeEntry> changed) {
                        mTellers++;
                        mOnTheWay.add(changed);
                    }

                    @Override
                    public void save(List<StrikeEntry> contained) {
                        // The test has no store.
                    }
                });
        return node;
    }
}
