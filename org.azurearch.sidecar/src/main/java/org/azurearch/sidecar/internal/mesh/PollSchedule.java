package org.azurearch.sidecar.internal.mesh;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Decides how long the reads of a reader wait for a new record of the store. Those of all readers
 * end in turn, at short intervals: if the answers to all of them are lost, the next one to end
 * finds what the others have missed. So the cost does not grow with the number of readers.
 *
 * <p>Confined to one thread.
 */
final class PollSchedule {
    /** Time between the ends of two reads, as a fraction of the time to apply a configuration. */
    private static final double INTERVAL_APPLIES = 0.4;

    /** The same fraction after the end of its wait after which a read counts as lost. */
    private static final double LOST_APPLIES = 0.2;

    private static final Duration MAX_WAIT = Duration.ofSeconds(10);

    private final long mApplyNanos;
    private final Duration mInterval;
    private final Duration mLostAfter;
    private int mPosition;
    private int mReaders = 1;
    private boolean mTurnChanged = true;

    /**
     * Creates a schedule for a node that is the only reader.
     *
     * @param applyMillis the time within which an accepted configuration has to be in force
     */
    PollSchedule(long applyMillis) {
        mApplyNanos = TimeUnit.MILLISECONDS.toNanos(applyMillis);
        mInterval = Duration.ofMillis((long) (applyMillis * INTERVAL_APPLIES));
        mLostAfter = Duration.ofMillis((long) (applyMillis * LOST_APPLIES));
    }

    /** Returns the time within which an accepted configuration has to be in force. */
    long applyNanos() {
        return mApplyNanos;
    }

    /**
     * Sets this node's turn.
     *
     * @param position the index of this node among the readers, which all of them order alike;
     *     negative if it is not one of them but reads for itself
     * @param readers the number of readers that reach each other
     */
    void setTurn(int position, int readers) {
        int among = Math.max(1, readers);
        int at = Math.min(Math.max(0, position), among - 1);
        mTurnChanged |= at != mPosition || among != mReaders;
        mPosition = at;
        mReaders = among;
    }

    /**
     * Returns how long the next read waits.
     *
     * @param together whether the reads of all readers have ended at the same time, so that they
     *     are spread again from there
     */
    Duration nextWait(boolean together) {
        int intervals = together || mTurnChanged ? mPosition + 1 : mReaders;
        mTurnChanged = false;
        Duration wait = mInterval.multipliedBy(intervals);
        return wait.compareTo(MAX_WAIT) > 0 ? MAX_WAIT : wait;
    }

    /** Returns for how long an answer is awaited beyond the wait of its read. */
    Duration lostAfter() {
        return mLostAfter;
    }
}
