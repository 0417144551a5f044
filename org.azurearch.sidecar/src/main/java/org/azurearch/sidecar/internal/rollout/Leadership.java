package org.azurearch.sidecar.internal.rollout;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Which node coordinates one roll-out: the first candidate that is heard. A candidate begins when
 * all candidates before it have been silent for a time that grows with its rank; two at once are
 * harmless. Pure; confined to one thread.
 */
public final class Leadership {
    /** Silence after which the next candidate takes over; a coordinator reports every 200 ms. */
    static final long SILENCE_MILLIS = 700;

    private final String mSelf;
    private List<String> mCandidates = List.of();
    private @Nullable String mHeard;
    private long mHeardMillis;

    /**
     * Creates the view of a node that has heard no coordinator.
     *
     * @param self the name of this node
     * @param nowMillis the time, on the steady clock
     */
    public Leadership(String self, long nowMillis) {
        mSelf = self;
        mHeardMillis = nowMillis;
    }

    /** Sets the candidates in their order, without those that are known to be down. */
    public void candidates(List<String> candidates) {
        mCandidates = candidates;
    }

    /**
     * Records a report of a coordinator that can decide; ignored if others may have taken over
     * since it was sent.
     */
    public void heard(String node, long sentMillis, long nowMillis) {
        if (nowMillis - sentMillis >= SILENCE_MILLIS) {
            return;
        }
        int rank = rank(node);
        String heard = mHeard;
        boolean better =
                heard != null && nowMillis - mHeardMillis < SILENCE_MILLIS && rank(heard) < rank;
        boolean outranked = leads(nowMillis) && rank > rank(mSelf);
        if (!node.equals(mSelf) && !better && !outranked) {
            mHeard = node;
            mHeardMillis = Math.max(mHeardMillis, sentMillis);
        }
    }

    /** Records that this process was suspended, so that others may have taken over. */
    public void paused(long nowMillis) {
        mHeardMillis = nowMillis;
    }

    /** Returns whether this node coordinates. */
    public boolean leads(long nowMillis) {
        int rank = rank(mSelf);
        if (rank == Integer.MAX_VALUE) {
            return false;
        }
        String heard = mHeard;
        boolean heardRecently = heard != null && nowMillis - mHeardMillis < SILENCE_MILLIS;
        if (heardRecently && heard != null && rank(heard) < rank) {
            return false;
        }
        return rank == 0 || nowMillis - mHeardMillis >= rank * SILENCE_MILLIS;
    }

    /** Returns the rank of this node. */
    public int rank() {
        return rank(mSelf);
    }

    /** Returns the nodes to send evidence to: the coordinator and the one that would follow. */
    public List<String> recipients(long nowMillis) {
        List<String> recipients = new ArrayList<>();
        String heard = mHeard;
        if (heard != null && nowMillis - mHeardMillis < SILENCE_MILLIS) {
            recipients.add(heard);
        }
        for (String candidate : mCandidates) {
            if (recipients.size() < 2 && !recipients.contains(candidate)) {
                recipients.add(candidate);
            }
        }
        recipients.remove(mSelf);
        return recipients;
    }

    private int rank(String node) {
        int rank = mCandidates.indexOf(node);
        return rank < 0 ? Integer.MAX_VALUE : rank;
    }
}
