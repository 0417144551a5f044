package org.azurearch.internal.spread;

import java.time.Duration;
import org.azurearch.log.LogBatch;
import org.azurearch.time.Backoff;

/**
 * Decides when a reader reads the change stream. One read is under way at a time: a long poll, or
 * one without a wait after a failure, so that the end of an outage is seen at once.
 */
final class LogFollower {
    /** How long the log may hold a read back while there is no record. */
    static final Duration WAIT = Duration.ofSeconds(20);

    /** The most bytes that a read asks for. */
    static final int MAX_READ_BYTES = 1 << 20;

    private static final long TIMEOUT_SLACK_MILLIS = 10_000;
    private static final long EARLY_EMPTY_PAUSE_MILLIS = 1_000;
    private static final Duration BACKOFF_BASE = Duration.ofMillis(200);
    private static final Duration BACKOFF_MAX = Duration.ofSeconds(5);
    private static final int START_PULLS = 3;

    private final CoreContext mContext;
    private final Backoff mBackoff;
    private final long mStartWaitUntil;
    private boolean mReading;
    private boolean mActive;
    private boolean mDown;
    private boolean mSnapshotWanted = true;
    private long mReadAt;
    private long mNextAt;
    private String mFailure = "";
    private Duration mWait = WAIT;

    LogFollower(CoreContext context, long now) {
        mContext = context;
        mBackoff = new Backoff(BACKOFF_BASE, BACKOFF_MAX, context.random());
        long startWait = context.settings().startWait().toMillis();
        mStartWaitUntil = now + startWait + context.random().nextLong(startWait + 1);
    }

    /** Returns when the next step is due, in milliseconds. */
    long dueAt() {
        if (mReading) {
            return mReadAt + WAIT.toMillis() + TIMEOUT_SLACK_MILLIS;
        }
        return mContext.empty() ? Math.max(mNextAt, mStartWaitUntil) : mNextAt;
    }

    /** Says whether the last read failed. */
    boolean down() {
        return mDown;
    }

    /** Returns why the last read failed; empty when it did not. */
    String failure() {
        return mFailure;
    }

    /** Says whether a node without state should look for a snapshot in the log now. */
    boolean wantsSnapshot(int fruitlessPulls, long now) {
        return mContext.reader()
                && mContext.empty()
                && mSnapshotWanted
                && mayStart(fruitlessPulls, now);
    }

    /** Notes that the log has been searched for snapshots, so that its records are next. */
    void snapshotSearched() {
        mSnapshotWanted = false;
    }

    /** Reads when it is time. */
    void tick(int fruitlessPulls, boolean resyncing, long now) {
        if (mReading && now >= dueAt()) {
            failed("no answer in time", now);
        }
        noteRole();
        boolean starts = !mContext.empty() || (!mSnapshotWanted && mayStart(fruitlessPulls, now));
        if (mActive && starts && !mReading && !resyncing && now >= mNextAt) {
            mReading = true;
            mReadAt = now;
            mWait = mDown ? Duration.ZERO : WAIT;
            mContext.emit(new SpreadEffect.ReadLog(mContext.position().offset() + 1, mWait));
        }
    }

    /** Takes an answer. */
    void answered(LogBatch batch, long now) {
        mReading = false;
        mBackoff.reset();
        mFailure = "";
        if (mDown) {
            mDown = false;
            mContext.report(SpreadEvent.LOG_UP);
        }
        boolean early = batch.records().isEmpty() && now - mReadAt < mWait.toMillis() / 2;
        mNextAt = early ? now + EARLY_EMPTY_PAUSE_MILLIS : now;
        mContext.foldRecords(batch.records());
    }

    /** Takes a failure. */
    void failed(String reason, long now) {
        mReading = false;
        mFailure = reason;
        mNextAt = now + mBackoff.nextDelay().toMillis();
        if (!mDown) {
            mDown = true;
            mContext.report(SpreadEvent.LOG_DOWN, reason);
        }
    }

    /** Notes that the next record has been removed by retention. */
    void removed(long earliest, long now) {
        mReading = false;
        mNextAt = now + mBackoff.nextDelay().toMillis();
        mFailure = "retention has removed offset " + (mContext.position().offset() + 1);
        mContext.report(SpreadEvent.BEHIND_RETENTION, mContext.position().offset() + 1, earliest);
    }

    private boolean mayStart(int fruitlessPulls, long now) {
        boolean alone =
                mContext.topology().neighbours().isEmpty()
                        && mContext.topology().remoteReaders().isEmpty();
        boolean asked = alone || fruitlessPulls >= START_PULLS;
        return mContext.settings().policy().everyNodeReads() || (now >= mStartWaitUntil && asked);
    }

    private void noteRole() {
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
