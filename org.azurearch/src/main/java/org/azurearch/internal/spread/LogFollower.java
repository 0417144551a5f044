package org.azurearch.internal.spread;

import java.time.Duration;
import org.azurearch.log.LogBatch;
import org.azurearch.time.Backoff;

/**
 * Decides when a reader reads the change stream. At most one read is in progress: a long poll, or
 * after a failure a read without a wait, so that the end of an outage is detected at once.
 */
final class LogFollower {
    /** How long the log may delay the reply to a read while there is no record. */
    static final Duration LONG_POLL_WAIT = Duration.ofSeconds(20);

    /** The maximum number of bytes that a read requests. */
    static final int MAX_READ_BYTES = 1 << 20;

    private static final long TIMEOUT_SLACK_MILLIS = 10_000;
    private static final long EARLY_EMPTY_PAUSE_MILLIS = 1_000;
    private static final Duration BACKOFF_BASE = Duration.ofMillis(200);
    private static final Duration BACKOFF_MAX = Duration.ofSeconds(5);
    private static final int MIN_PULLS_BEFORE_LOG = 3;

    private final CoreContext mContext;
    private final Backoff mBackoff;
    private final long mStartWaitUntil;
    private boolean mReading;
    private boolean mActive;
    private boolean mDown;
    private boolean mSnapshotSearchPending = true;
    private long mReadStartedAt;
    private long mNextReadAt;
    private String mFailure = "";
    private Duration mWait = LONG_POLL_WAIT;

    LogFollower(CoreContext context, long now) {
        mContext = context;
        mBackoff = new Backoff(BACKOFF_BASE, BACKOFF_MAX, context.random());
        long startWait = context.settings().startWait().toMillis();
        mStartWaitUntil = now + startWait + context.random().nextLong(startWait + 1);
    }

    /** Returns when the next step is due, in milliseconds. */
    long dueAt() {
        if (mReading) {
            return mReadStartedAt + LONG_POLL_WAIT.toMillis() + TIMEOUT_SLACK_MILLIS;
        }
        return mContext.empty() ? Math.max(mNextReadAt, mStartWaitUntil) : mNextReadAt;
    }

    /** Returns whether the last read failed. */
    boolean down() {
        return mDown;
    }

    /** Returns why the last read failed; empty if it succeeded. */
    String failure() {
        return mFailure;
    }

    /** Returns whether a node without state should search the log for a snapshot now. */
    boolean needsSnapshot(int pullsWithoutState, long now) {
        return mContext.reader()
                && mContext.empty()
                && mSnapshotSearchPending
                && mayReadWithoutState(pullsWithoutState, now);
    }

    /** Records that the log has been searched for snapshots, so that its records may be read. */
    void onSnapshotSearchDone() {
        mSnapshotSearchPending = false;
    }

    /** Starts a read if one is due, and fails a read that has timed out. */
    void tick(int pullsWithoutState, boolean resyncing, long now) {
        if (mReading && now >= dueAt()) {
            onFailure("the read timed out", now);
        }
        updateRole();
        boolean mayRead =
                !mContext.empty()
                        || (!mSnapshotSearchPending && mayReadWithoutState(pullsWithoutState, now));
        if (mActive && mayRead && !mReading && !resyncing && now >= mNextReadAt) {
            mReading = true;
            mReadStartedAt = now;
            mWait = mDown ? Duration.ZERO : LONG_POLL_WAIT;
            mContext.emit(new SpreadEffect.ReadLog(mContext.position().offset() + 1, mWait));
        }
    }

    /** Handles the reply to a read. */
    void onBatch(LogBatch batch, long now) {
        mReading = false;
        mBackoff.reset();
        mFailure = "";
        if (mDown) {
            mDown = false;
            mContext.report(SpreadEvent.LOG_UP);
        }
        boolean emptyEarly =
                batch.records().isEmpty() && now - mReadStartedAt < mWait.toMillis() / 2;
        mNextReadAt = emptyEarly ? now + EARLY_EMPTY_PAUSE_MILLIS : now;
        mContext.foldRecords(batch.records());
    }

    /** Handles the failure of a read. */
    void onFailure(String reason, long now) {
        mReading = false;
        mFailure = reason;
        mNextReadAt = now + mBackoff.nextDelay().toMillis();
        if (!mDown) {
            mDown = true;
            mContext.report(SpreadEvent.LOG_DOWN, reason);
        }
    }

    /** Handles a read that failed because retention has removed the next record. */
    void onOffsetRemoved(long earliest, long now) {
        mReading = false;
        mNextReadAt = now + mBackoff.nextDelay().toMillis();
        mFailure = "retention has removed offset " + (mContext.position().offset() + 1);
        mContext.report(SpreadEvent.BEHIND_RETENTION, mContext.position().offset() + 1, earliest);
    }

    private boolean mayReadWithoutState(int pullsWithoutState, long now) {
        boolean noPeers =
                mContext.topology().neighbours().isEmpty()
                        && mContext.topology().remoteReaders().isEmpty();
        boolean peersTried = noPeers || pullsWithoutState >= MIN_PULLS_BEFORE_LOG;
        return mContext.settings().policy().everyNodeReads()
                || (now >= mStartWaitUntil && peersTried);
    }

    private void updateRole() {
        boolean active = mContext.reader() && !mContext.blocked();
        if (active != mActive) {
            mActive = active;
            if (active) {
                mContext.report(SpreadEvent.READER_STARTED, mContext.topology().rank());
            } else {
                mContext.report(SpreadEvent.READER_STOPPED);
            }
        }
    }
}
