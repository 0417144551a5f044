package org.azurearch.sidecar.internal.suspect;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.azurearch.sidecar.internal.hop.HopWire;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WireNodeRecords;
import org.azurearch.thrift.WirePulse;
import org.azurearch.thrift.WireStrikeHashes;

/**
 * Compares the strikes of this node with those of a peer, and sends what either of them lacks. A
 * pulse has a digest of each bucket; the receiver replies with the hashes of its strikes in the
 * buckets that differ, and either end sends the strikes that the other's hashes lack. Confined to
 * one thread.
 */
public final class StrikeExchange {
    /** Limit of the strikes in a frame, some 8 KB. */
    private static final int MAX_STRIKES = 64;

    /**
     * Limit of the strikes sent to all peers in a second, beside those that this node has just
     * recorded or cleared. What is left is sent after a later comparison.
     */
    private static final int MAX_STRIKES_PER_SECOND = 256;

    private final SuspectTracker mSuspects;
    private long mSecond;
    private int mSentInSecond;

    /** Creates an exchange of the strikes that a tracker knows. */
    public StrikeExchange(SuspectTracker suspects) {
        mSuspects = suspects;
    }

    /** Adds the digests of this node's strikes to a pulse. */
    public WirePulse addTo(WirePulse pulse) {
        return pulse.setStrikeDigest(mSuspects.digest())
                .setStrikeDigests(mSuspects.bucketDigests());
    }

    /** Replies to the pulse of a peer whose strikes differ from those of this node. */
    public void compare(WirePulse pulse, Consumer<HopFrame> peer) {
        if (pulse.isReply() || pulse.getStrikeDigest() == mSuspects.digest()) {
            return;
        }
        if (!pulse.isSetStrikeDigests()) {
            // A peer of an earlier release does not know hashes.
            send(mSuspects.entries(), peer);
            return;
        }
        Set<Integer> differing = new TreeSet<>();
        List<Integer> own = mSuspects.bucketDigests();
        List<Integer> theirs = pulse.getStrikeDigests();
        for (int bucket = 0; bucket < own.size(); bucket++) {
            if (bucket >= theirs.size() || !theirs.get(bucket).equals(own.get(bucket))) {
                differing.add(bucket);
            }
        }
        peer.accept(hashes(differing, false));
    }

    /** Sends a peer the strikes that its hashes lack, and asks for those that this node lacks. */
    public void received(WireStrikeHashes hashes, Consumer<HopFrame> peer) {
        Set<Integer> buckets = new HashSet<>(hashes.getBuckets());
        Set<Long> theirs = new HashSet<>(hashes.getHashes());
        List<StrikeEntry> lacking = new ArrayList<>();
        for (StrikeEntry entry : mSuspects.entriesIn(buckets)) {
            if (!theirs.remove(StrikeDigests.hash(entry))) {
                lacking.add(entry);
            }
        }
        send(lacking, peer);
        if (!hashes.isReply() && !theirs.isEmpty()) {
            peer.accept(hashes(buckets, true));
        }
    }

    private HopFrame hashes(Set<Integer> buckets, boolean reply) {
        List<Long> hashes = mSuspects.entriesIn(buckets).stream().map(StrikeDigests::hash).toList();
        return HopFrame.strikeHashes(new WireStrikeHashes(List.copyOf(buckets), hashes, reply));
    }

    private void send(List<StrikeEntry> strikes, Consumer<HopFrame> peer) {
        long second = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
        mSentInSecond = second == mSecond ? mSentInSecond : 0;
        mSecond = second;
        int left = Math.min(MAX_STRIKES, MAX_STRIKES_PER_SECOND - mSentInSecond);
        List<StrikeEntry> sent = strikes.subList(0, Math.min(strikes.size(), Math.max(0, left)));
        if (!sent.isEmpty()) {
            mSentInSecond += sent.size();
            peer.accept(frame(sent, true));
        }
    }

    /**
     * Returns a frame with strikes.
     *
     * @param relayed whether receivers do not forward them
     */
    public HopFrame frame(List<StrikeEntry> strikes, boolean relayed) {
        return HopFrame.records(
                new WireNodeRecords(List.of(), relayed)
                        .setStrikes(HopWire.toWire(strikes, mSuspects.nowMillis())));
    }
}
