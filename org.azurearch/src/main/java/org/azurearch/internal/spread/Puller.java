package org.azurearch.internal.spread;

import java.util.List;
import org.azurearch.lib.NodeId;
import org.azurearch.spread.Position;
import org.jspecify.annotations.Nullable;

/**
 * Decides when and from which peer to pull for anti-entropy. At most one pull is in progress; it
 * reports this node's position and fetches the records that the node lacks. Readers alternate
 * between the readers of other data centres and those of their own; other nodes pull mostly from
 * the readers of their data centre.
 */
final class Puller {
    /** The maximum total size of the records that a pull requests, in bytes. */
    static final int MAX_PULL_BYTES = 512 << 10;

    private static final long START_PERIOD_MILLIS = 300;
    private static final long RETRY_PERIOD_MILLIS = 200;
    private static final long TIMEOUT_SLACK_MILLIS = 500;
    private static final int WIDER_PULL_INTERVAL = 4;
    private static final int FAILURES_PER_REPORT = 5;
    private static final int MAX_REJECTED_DELTAS = 3;
    private static final long NOT_DUE = Long.MAX_VALUE;

    private final CoreContext mContext;
    private final DigestVotes mVotes = new DigestVotes();
    private @Nullable NodeId mPendingPeer;
    private long mPulledAt;
    private long mNextPullAt;
    private int mPulls;
    private int mFailures;
    private int mPullsWithoutState;
    private int mRejectedDeltas;
    private boolean mReportsPosition;
    private long mHighestPeerOffset = -1;
    private int mMaxBytes = MAX_PULL_BYTES;

    Puller(CoreContext context, long now) {
        mContext = context;
        mNextPullAt =
                context.settings().policy().everyNodeReads()
                        ? NOT_DUE
                        : now + context.random().nextLong(START_PERIOD_MILLIS);
    }

    /** Returns when the next step is due, in milliseconds. */
    long dueAt() {
        return mPendingPeer == null ? mNextPullAt : mPulledAt + timeoutMillis();
    }

    /** Returns the number of consecutive pulls that have failed. */
    int failures() {
        return mFailures;
    }

    /** Returns the number of pulls that have failed or left the node without state. */
    int pullsWithoutState() {
        return mPullsWithoutState;
    }

    /** Returns whether several consecutive deltas could not be folded. */
    boolean needsSnapshot() {
        return mRejectedDeltas >= MAX_REJECTED_DELTAS;
    }

    /**
     * Records that a peer has reached an offset; pulls are more frequent until this node has too.
     */
    void notePeerOffset(long offset) {
        mHighestPeerOffset = Math.max(mHighestPeerOffset, offset);
    }

    /** Brings the next pull forward to a random time within a delay. */
    void pullWithin(long delayMillis, long now) {
        if (mNextPullAt != NOT_DUE) {
            long delay = delayMillis == 0 ? 0 : mContext.random().nextLong(delayMillis + 1);
            mNextPullAt = Math.min(mNextPullAt, now + delay);
        }
    }

    /** Brings the next pull forward and sends it to a reader, to report this node's position. */
    void reportWithin(long delayMillis, long now) {
        mReportsPosition = true;
        pullWithin(delayMillis, now);
    }

    /** Starts a pull if one is due, and fails a pull that has timed out. */
    void tick(long now) {
        if (mPendingPeer != null && now >= mPulledAt + timeoutMillis()) {
            onFailure(mPendingPeer, 0, now);
        }
        if (mPendingPeer == null && now >= mNextPullAt) {
            mNextPullAt = now + periodMillis();
            List<NodeId> candidates = candidates();
            mReportsPosition = false;
            if (!candidates.isEmpty()) {
                pull(mContext.pick(candidates), now);
            }
        }
    }

    /** Pulls from a node at a later position, unless a pull is in progress. */
    void pullFrom(NodeId node, long now) {
        if (mPendingPeer == null && mNextPullAt != NOT_DUE) {
            pull(node, now);
        }
    }

    /**
     * Handles the reply to a pull, after its delta has been folded.
     *
     * @param peer the node that replied
     * @param peerPosition the position of the peer
     * @param hasDelta whether the reply contains a delta
     * @param folded whether the delta could be folded; true if there is none
     * @param now the time, in milliseconds
     * @return the peer's position, if it is at this node's offset and more nodes have its digest
     *     than this node's; otherwise null
     */
    @Nullable Position onReply(
            NodeId peer, Position peerPosition, boolean hasDelta, boolean folded, long now) {
        clearPending(peer);
        notePeerOffset(peerPosition.offset());
        mFailures = 0;
        if (mContext.empty()) {
            mPullsWithoutState++;
        }
        mMaxBytes = folded ? MAX_PULL_BYTES : 1;
        mRejectedDeltas = folded ? 0 : mRejectedDeltas + 1;
        if (hasDelta && peerPosition.after(mContext.position()) && !mContext.blocked()) {
            pullWithin(folded ? 0 : RETRY_PERIOD_MILLIS, now);
        }
        return mVotes.count(peer, peerPosition, mContext.position());
    }

    /** Handles the failure of a pull. */
    void onFailure(NodeId peer, long retryAfterMillis, long now) {
        clearPending(peer);
        mFailures++;
        mPullsWithoutState++;
        if (mFailures % FAILURES_PER_REPORT == 0) {
            mContext.report(SpreadEvent.PEERS_SILENT, mFailures);
        }
        long wait = mContext.jittered(RETRY_PERIOD_MILLIS);
        mNextPullAt = Math.min(mNextPullAt, now + Math.max(wait, retryAfterMillis));
    }

    private void clearPending(NodeId peer) {
        if (peer.equals(mPendingPeer)) {
            mPendingPeer = null;
        }
    }

    private void pull(NodeId node, long now) {
        mPendingPeer = node;
        mPulledAt = now;
        mPulls++;
        int maxBytes = mContext.blocked() ? 0 : mMaxBytes;
        mContext.emit(new SpreadEffect.Pull(node, mContext.position(), maxBytes));
    }

    private long timeoutMillis() {
        return mContext.settings().peerTimeout().toMillis() + TIMEOUT_SLACK_MILLIS;
    }

    private long periodMillis() {
        if (mContext.empty()) {
            return mContext.jittered(START_PERIOD_MILLIS);
        }
        if (mHighestPeerOffset > mContext.position().offset() && !mContext.blocked()) {
            return mContext.jittered(RETRY_PERIOD_MILLIS);
        }
        long mean = mContext.settings().policy().antiEntropyPeriod().toMillis();
        return mean / 2 + mContext.jittered(mean / 2);
    }

    private List<NodeId> candidates() {
        Topology topology = mContext.topology();
        List<NodeId> homeReaders = topology.homeReaders();
        List<NodeId> remoteReaders = topology.remoteReaders();
        List<NodeId> neighbours = topology.neighbours();
        boolean remoteTurn = mContext.reader() && mPulls % 2 == 0;
        boolean widerTurn = mPulls % WIDER_PULL_INTERVAL == WIDER_PULL_INTERVAL - 1;
        if (mReportsPosition && !homeReaders.isEmpty()) {
            return homeReaders;
        }
        if (mContext.empty()) {
            return mPullsWithoutState % 2 == 0
                    ? firstOf(neighbours, remoteReaders)
                    : firstOf(remoteReaders, neighbours);
        }
        if (mFailures > 0) {
            return mFailures % 2 == 0
                    ? firstOf(neighbours, remoteReaders)
                    : firstOf(remoteReaders, neighbours);
        }
        if (remoteTurn) {
            return firstOf(remoteReaders, homeReaders);
        }
        return widerTurn ? firstOf(neighbours, remoteReaders) : firstOf(homeReaders, remoteReaders);
    }

    private static List<NodeId> firstOf(List<NodeId> first, List<NodeId> second) {
        return first.isEmpty() ? second : first;
    }
}
