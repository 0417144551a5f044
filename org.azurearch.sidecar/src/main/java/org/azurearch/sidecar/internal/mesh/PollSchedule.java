package org.azurearch.sidecar.internal.mesh;

import java.time.Duration;

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

    private final Duration mInterval;
    private final Duration mLostAfter;
    private int mPosition;
    private int mReaders = 1;

    /**
     * Creates a schedule for a node that is the only reader.
     *
     * @param applyMillis the time within which an accepted configuration has to be in force
     */
    PollSchedule(long applyMillis) {
        mInterval = Duration.ofMillis((long) (applyMillis * INTERVAL_APPLIES));
        mLostAfter = Duration.ofMillis((long) (applyMillis * LOST_APPLIES));
    }

    /**
     * Sets this node's turn.
     *
     * @param position the index of this node among the readers, which all of them order alike;
     *     negative if it is not one of them but reads for itself
     * @param readers the number of readers that reach each other
     */
    void setTurn(int position, int readers) {
        mReaders = Math.max(1, readers);
        mPosition = Math.min(Math.max(0, position), mReaders - 1);
    }

    /**
     * Returns how long the next read waits.
     *
     * @param afterRecords whether the one before has brought records. So have those of the other
     *     readers at the same time, from which the reads are spread again.
     */
    Duration nextWait(boolean afterRecords) {
        Duration wait = mInterval.multipliedBy(afterRecords ? mPosition + 1 : mReaders);
        return wait.compareTo(MAX_WAIT) > 0 ? MAX_WAIT : wait;
    }

    /** Returns for how long an answer is awaited beyond the wait of its read. */
    Duration lostAfter() {
        return mLostAfter;
    }
}
