package org.azurearch.internal.spread;

import java.util.List;
import java.util.random.RandomGenerator;
import org.azurearch.lib.NodeId;
import org.azurearch.spread.Position;
import org.azurearch.spread.StateSource;

/**
 * Decision logic of the distribution: handles an input at a given time, updates its state and
 * returns the effects to execute. It uses no threads, clock or I/O. Not thread-safe.
 */
final class SpreadCore {
    private static final long MAX_CATCH_UP_DELAY_MILLIS = 50;

    private final CoreContext mContext;
    private final LogFollower mLogFollower;
    private final Pusher mPusher;
    private final Puller mPuller;
    private final Resync mResync;
    private final SnapshotSchedule mSnapshotSchedule;

    /**
     * Creates a core without state.
     *
     * @param settings the settings
     * @param format the encoding of states and deltas
     * @param random the source of randomness for jitter and the choice of peers
     * @param topology the initial topology
     * @param nowMillis the time, in milliseconds from an arbitrary origin
     */
    SpreadCore(
            SpreadSettings settings,
            FoldFormat format,
            RandomGenerator random,
            Topology topology,
            long nowMillis) {
        mContext = new CoreContext(settings, format, random, topology);
        mLogFollower = new LogFollower(mContext, nowMillis);
        mPusher = new Pusher(mContext);
        mPuller = new Puller(mContext, nowMillis);
        mResync = new Resync(mContext);
        mSnapshotSchedule = new SnapshotSchedule(mContext, nowMillis);
    }

    /** Returns the state and the most recent records. */
    History history() {
        return mContext.history();
    }

    /** Returns the source of the last update of the state. */
    StateSource source() {
        return mContext.source();
    }

    /** Returns whether this node reads the log. */
    boolean reader() {
        return mContext.reader();
    }

    /** Returns why this node has no state or cannot follow the log; empty if it can. */
    String reason() {
        if (mContext.blocked()) {
            return mContext.blockReason();
        }
        if (!mContext.empty()) {
            return mLogFollower.down() ? "the log cannot be read: " + mLogFollower.failure() : "";
        }
        String failure =
                mLogFollower.failure().isEmpty() ? mResync.failure() : mLogFollower.failure();
        if (!failure.isEmpty()) {
            return "no state available from peers or the log: " + failure;
        }
        return mContext.reader()
                ? "no record has been read yet"
                : "no peer has provided a state yet";
    }

    /** Returns when the next {@link SpreadInput.Tick} is due, in milliseconds. */
    long dueAt() {
        long log = mContext.reader() ? mLogFollower.dueAt() : Long.MAX_VALUE;
        return Math.min(
                Math.min(Math.min(log, mPusher.dueAt()), mPuller.dueAt()),
                Math.min(mResync.dueAt(), mSnapshotSchedule.dueAt()));
    }

    /**
     * Handles an input.
     *
     * @param input the input
     * @param now the time, in milliseconds from the same origin as at construction
     * @param wallMillis the wall clock, in milliseconds since the epoch
     * @return the effects to execute, in order
     */
    List<SpreadEffect> handle(SpreadInput input, long now, long wallMillis) {
        Position before = mContext.position();
        if (input instanceof SpreadInput.MembersChanged members) {
            mContext.topology(members.topology());
        } else if (!handleExchange(input, now) && !handleLog(input, now)) {
            handleSnapshot(input, now, wallMillis);
        }
        if (mContext.position().after(before)) {
            mPusher.onAdvanced(before, mContext.source(), now);
            mSnapshotSchedule.onAdvanced(now);
        }
        tick(now);
        return mContext.drainEffects();
    }

    private void tick(long now) {
        mResync.tick(now);
        if (mResync.logSearched()) {
            mLogFollower.onSnapshotSearchDone();
        }
        if (mLogFollower.needsSnapshot(mPuller.pullsWithoutState(), now)) {
            mResync.start(null, true, now);
        }
        mLogFollower.tick(mPuller.pullsWithoutState(), mResync.active(), now);
        mPusher.tick(now);
        mPuller.tick(now);
        mSnapshotSchedule.tick(now);
    }

    private boolean handleExchange(SpreadInput input, long now) {
        if (input instanceof SpreadInput.Pushed pushed) {
            onPush(pushed, now);
        } else if (input instanceof SpreadInput.PushFailed failed) {
            mPusher.send(failed.delta(), failed.subtree());
        } else if (input instanceof SpreadInput.PullAnswered answer) {
            onPullReply(answer, now);
        } else if (input instanceof SpreadInput.PullFailed failed) {
            mPuller.onFailure(failed.peer(), failed.retryAfterMillis(), now);
        } else if (input instanceof SpreadInput.PeerAhead ahead) {
            if (ahead.position().after(mContext.position()) && !mContext.blocked()) {
                mPuller.pullFrom(ahead.node(), now);
            }
        } else {
            return false;
        }
        return true;
    }

    private boolean handleLog(SpreadInput input, long now) {
        if (input instanceof SpreadInput.LogRead read) {
            mLogFollower.onBatch(read.batch(), now);
        } else if (input instanceof SpreadInput.LogFailed failed) {
            mLogFollower.onFailure(failed.reason(), now);
        } else if (input instanceof SpreadInput.LogOffsetRemoved removed) {
            mLogFollower.onOffsetRemoved(removed.earliest(), now);
            mResync.start(null, true, now);
        } else {
            return false;
        }
        return true;
    }

    private void handleSnapshot(SpreadInput input, long now, long wallMillis) {
        if (input instanceof SpreadInput.ManifestAnswered answer) {
            mResync.onManifest(answer.peer(), answer.manifest(), now);
        } else if (input instanceof SpreadInput.ChunkAnswered answer) {
            mResync.onChunk(answer.peer(), answer.digest(), answer.content(), now);
        } else if (input instanceof SpreadInput.FetchFailed failed) {
            mResync.onFetchFailure(failed.peer(), failed.digest(), failed.retryAfterMillis(), now);
        } else if (input instanceof SpreadInput.SnapshotsRead read) {
            mResync.onSnapshotsRead(read.requestedOffset(), read.batch(), now);
        } else if (input instanceof SpreadInput.SnapshotOffsetRemoved removed) {
            mResync.onSnapshotsRemoved(removed.earliest(), now);
        } else if (input instanceof SpreadInput.SnapshotsFailed failed) {
            mResync.onSnapshotsFailure(failed.reason(), now);
        } else if (input instanceof SpreadInput.NewestSnapshot newest) {
            mSnapshotSchedule.onNewestFound(newest.newest(), now, wallMillis);
        } else if (input instanceof SpreadInput.SnapshotSaved saved) {
            mSnapshotSchedule.onSaved(saved.position(), saved.succeeded(), now);
        }
    }

    private void onPush(SpreadInput.Pushed pushed, long now) {
        mPusher.send(pushed.delta(), pushed.subtree());
        boolean ahead = pushed.delta().target().after(mContext.position());
        boolean current = mContext.foldDelta(pushed.delta(), StateSource.PUSH);
        mPusher.onPushedByOther(pushed.delta().target());
        mPuller.notePeerOffset(pushed.delta().target().offset());
        if (!current && !mContext.blocked()) {
            mPuller.pullWithin(MAX_CATCH_UP_DELAY_MILLIS, now);
        } else if (ahead) {
            mPuller.reportWithin(mContext.settings().policy().reportDelay().toMillis(), now);
        }
    }

    private void onPullReply(SpreadInput.PullAnswered answer, long now) {
        Delta delta = answer.delta();
        boolean folded = delta == null || mContext.foldDelta(delta, StateSource.PULL);
        Position outvotedBy =
                mPuller.onReply(answer.peer(), answer.position(), delta != null, folded, now);
        NodeId peer = answer.peer();
        if (outvotedBy != null) {
            mContext.report(
                    SpreadEvent.DIGEST_MISMATCH, peer, answer.position(), mContext.position());
            mResync.start(peer, false, now);
        } else if ((answer.snapshotNeeded() || mPuller.needsSnapshot())
                && answer.position().after(mContext.position())
                && !mContext.blocked()) {
            mResync.start(peer, false, now);
        }
    }
}
