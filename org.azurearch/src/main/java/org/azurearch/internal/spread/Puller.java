package org.azurearch.internal.spread;

import java.util.List;
import org.azurearch.lib.NodeId;
import org.azurearch.spread.Position;
import org.jspecify.annotations.Nullable;

/**
 * Decides on anti-entropy pulls. One pull is under way at a time; it reports this node's position
 * and brings what the node lacks. Readers pull in turn from readers of other data centres and of
 * their own, the other nodes mostly from the readers of their data centre.
 */
final class Puller {
    /** The most bytes of records that a pull asks for. */
    static final int MAX_PULL_BYTES = 512 << 10;

    private static final long START_PERIOD_MILLIS = 300;
    private static final long RETRY_PERIOD_MILLIS = 200;
    private static final long TIMEOUT_SLACK_MILLIS = 500;
    private static final int WIDER_EVERY = 4;
    private static final int SILENT_PULLS = 5;
    private static final int STUCK_AFTER_REFUSED = 3;
    private static final long NOT_DUE = Long.MAX_VALUE;

    private final CoreContext mContext;
    private final DigestVotes mVotes = new DigestVotes();
    private @Nullable NodeId mAsked;
    private long mAskedAt;
    private long mNextAt;
    private int mPulls;
    private int mFailures;
    private int mFruitless;
    private int mRefused;
    private boolean mReports;
    private long mKnownOffset = -1;
    private int mMaxBytes = MAX_PULL_BYTES;

    Puller(CoreContext context, long now) {
        mContext = context;
        mNextAt =
                context.settings().policy().everyNodeReads()
                        ? NOT_DUE
                        : now + context.random().nextLong(START_PERIOD_MILLIS);
    }

    /** Returns when the next step is due, in milliseconds. */
    long dueAt() {
        return mAsked == null ? mNextAt : mAskedAt + timeoutMillis();
    }

    /** Returns how many pulls in a row were not answered. */
    int failures() {
        return mFailures;
    }

    /** Returns how many pulls of a node without state have brought none. */
    int fruitless() {
        return mFruitless;
    }

    /** Says whether several deltas in a row could not be folded. */
    boolean stuck() {
        return mRefused >= STUCK_AFTER_REFUSED;
    }

    /**
     * Notes that another node has an offset; this node pulls soon and often until it has it too.
     */
    void knows(long offset) {
        mKnownOffset = Math.max(mKnownOffset, offset);
    }

    /** Brings the next pull forward. */
    void within(long delayMillis, long now) {
        if (mNextAt != NOT_DUE) {
            long delay = delayMillis == 0 ? 0 : mContext.random().nextLong(delayMillis + 1);
            mNextAt = Math.min(mNextAt, now + delay);
        }
    }

    /** Brings the next pull forward and sends it to a reader, which learns this node's position. */
    void reportWithin(long delayMillis, long now) {
        mReports = true;
        within(delayMillis, now);
    }

    /** Pulls when it is time. */
    void tick(long now) {
        if (mAsked != null && now >= mAskedAt + timeoutMillis()) {
            failed(mAsked, 0, now);
        }
        if (mAsked == null && now >= mNextAt) {
            mNextAt = now + periodMillis();
            List<NodeId> candidates = candidates();
            mReports = false;
            if (!candidates.isEmpty()) {
                ask(mContext.pick(candidates), now);
            }
        }
    }

    /** Pulls from a node that is known to be ahead, unless a pull is under way. */
    void askAhead(NodeId node, long now) {
        if (mAsked == null && mNextAt != NOT_DUE) {
            ask(node, now);
        }
    }

    /**
     * Takes an answer; its delta has been folded already.
     *
     * @param by the node that answered
     * @param theirs its position
     * @param gave whether it gave a delta
     * @param folded whether the delta, if any, could be folded
     * @param now the time, in milliseconds
     * @return the digest that most nodes have at this node's offset, when this node's differs
     */
    @Nullable Position answered(
            NodeId by, Position theirs, boolean gave, boolean folded, long now) {
        settle(by);
        knows(theirs.offset());
        mFailures = 0;
        if (mContext.empty()) {
            mFruitless++;
        }
        mMaxBytes = folded ? MAX_PULL_BYTES : 1;
        mRefused = folded ? 0 : mRefused + 1;
        if (gave && theirs.after(mContext.position()) && !mContext.blocked()) {
            within(folded ? 0 : RETRY_PERIOD_MILLIS, now);
        }
        return mVotes.count(by, theirs, mContext.position());
    }

    /** Takes a failure. */
    void failed(NodeId by, long retryAfterMillis, long now) {
        settle(by);
        mFailures++;
        mFruitless++;
        if (mFailures % SILENT_PULLS == 0) {
            mContext.report(SpreadEvent.PEERS_SILENT, mFailures);
        }
        long wait = mContext.jittered(RETRY_PERIOD_MILLIS);
        mNextAt = Math.min(mNextAt, now + Math.max(wait, retryAfterMillis));
    }

    private void settle(NodeId by) {
        if (by.equals(mAsked)) {
            mAsked = null;
        }
    }

    private void ask(NodeId node, long now) {
        mAsked = node;
        mAskedAt = now;
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
        if (mKnownOffset > mContext.position().offset() && !mContext.blocked()) {
            return mContext.jittered(RETRY_PERIOD_MILLIS);
        }
        long mean = mContext.settings().policy().antiEntropyPeriod().toMillis();
        return mean / 2 + mContext.jittered(mean / 2);
    }

    private List<NodeId> candidates() {
        Topology topology = mContext.topology();
        List<NodeId> near = topology.homeReaders();
        List<NodeId> far = topology.remoteReaders();
        List<NodeId> neighbours = topology.neighbours();
        boolean turnOfFar = mContext.reader() && mPulls % 2 == 0;
        boolean wider = mPulls % WIDER_EVERY == WIDER_EVERY - 1;
        if (mReports && !near.isEmpty()) {
            return near;
        }
        if (mContext.empty()) {
            return mFruitless % 2 == 0 ? firstOf(neighbours, far) : firstOf(far, neighbours);
        }
        if (mFailures > 0) {
            return mFailures % 2 == 0 ? firstOf(neighbours, far) : firstOf(far, neighbours);
        }
        if (turnOfFar) {
            return firstOf(far, near);
        }
        return wider ? firstOf(neighbours, far) : firstOf(near, far);
    }

    private static List<NodeId> firstOf(List<NodeId> first, List<NodeId> second) {
        return first.isEmpty() ? second : first;
    }
}
