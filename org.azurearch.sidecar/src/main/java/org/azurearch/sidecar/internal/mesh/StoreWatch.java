package org.azurearch.sidecar.internal.mesh;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/**
 * Judges as of when a reader has read all that the store held, and whether the store is silent. A
 * read that the store has answered shows that at the time at which it was sent; one without an
 * answer shows nothing, as the answer may be on its way. So the end of the stream is checked beside
 * the long polls, with small reads that do not wait. Confined to one thread.
 */
final class StoreWatch {
    /**
     * Time between two checks, as a fraction of the time within which an accepted configuration has
     * to be in force. Several answers may be late or lost until the lease ends.
     */
    private static final double CHECK_APPLIES = 0.2;

    /** The same while answers take longer than that. */
    private static final double LATE_CHECK_APPLIES = 0.1;

    /** The same fraction after which a store that sends nothing at all counts as out of reach. */
    private static final double SILENT_APPLIES = 0.75;

    /** Checks that must be without an answer, as a connection may be lost in silence. */
    private static final int SILENT_CHECKS = 2;

    /** Limit of the checks under way. */
    private static final int MAX_CHECKS = 16;

    /** Limit of the ends that are remembered until they are read. */
    private static final int MAX_ENDS = 32;

    /** A node that runs more seldom has been late itself: 200 ms. */
    private static final long MAX_TICK_NANOS = 200_000_000L;

    /** The end of the stream at a time. */
    private record End(long offset, long asOfNanos) {}

    private final long mCheckNanos;
    private final long mLateCheckNanos;
    private final long mSilentNanos;
    private final Deque<Long> mChecks = new ArrayDeque<>();

    /** Ends that have not been read yet, the lowest and oldest first. */
    private final Deque<End> mEnds = new ArrayDeque<>();

    private boolean mRead;
    private long mReadTo;
    private long mCheckedNanos;
    private boolean mLate;
    private int mChecksSinceHeard;
    private long mHeardNanos;
    private long mSilentForNanos;
    private long mTickNanos;

    /**
     * Creates a watch of a stream of which nothing has been read.
     *
     * @param applyNanos the time within which an accepted configuration has to be in force
     * @param nowNanos the time, on the steady clock
     */
    StoreWatch(long applyNanos, long nowNanos) {
        mCheckNanos = (long) (applyNanos * CHECK_APPLIES);
        mLateCheckNanos = (long) (applyNanos * LATE_CHECK_APPLIES);
        mSilentNanos = (long) (applyNanos * SILENT_APPLIES);
        mTickNanos = nowNanos;
        mHeardNanos = nowNanos;
        mCheckedNanos = nowNanos - mCheckNanos;
    }

    /** Forgets the silence of the store, which nobody has asked for some time. */
    void resume() {
        mChecksSinceHeard = 0;
        mSilentForNanos = 0;
    }

    /**
     * Records the passing of time.
     *
     * @param heardNanos when bytes of the store arrived last
     */
    void tick(long heardNanos, long nowNanos) {
        long passed = Math.min(nowNanos - mTickNanos, MAX_TICK_NANOS);
        mTickNanos = nowNanos;
        if (heardNanos - mHeardNanos > 0) {
            mHeardNanos = heardNanos;
            mChecksSinceHeard = 0;
        }
        mSilentForNanos = mChecksSinceHeard == 0 ? 0 : mSilentForNanos + passed;
    }

    /**
     * Returns whether the end of the stream should be checked.
     *
     * @param ageNanos how long ago the configuration in force was known to be the newest
     * @param second whether another node checks as well, whose word is missing then
     */
    boolean checkDue(long ageNanos, boolean second, long nowNanos) {
        long dueNanos = second ? 2 * mCheckNanos : mCheckNanos;
        long intervalNanos = late(nowNanos) ? mLateCheckNanos : mCheckNanos;
        return mRead
                && mChecks.size() < MAX_CHECKS
                && ageNanos >= dueNanos
                && nowNanos - mCheckedNanos >= intervalNanos;
    }

    /** Returns whether the answer to a check takes long, so that its connection may be lost. */
    boolean late(long nowNanos) {
        Long oldest = mChecks.peekFirst();
        return mLate || (oldest != null && nowNanos - oldest > mCheckNanos);
    }

    /** Records that a check is sent. */
    void checkSent(long nowNanos) {
        mChecks.add(nowNanos);
        mCheckedNanos = nowNanos;
        mChecksSinceHeard++;
    }

    /**
     * Records the answer to a check.
     *
     * @param sentNanos when the check was sent
     * @param endOffset the end of the stream
     * @return whether all before the end has been read, so that this was known at that time
     */
    boolean checkAnswered(long sentNanos, long endOffset, long nowNanos) {
        // Earlier ones without an answer are most likely lost with their connections.
        mChecks.removeIf(sent -> sent - sentNanos <= 0);
        mLate = nowNanos - sentNanos > mCheckNanos;
        if (mRead && endOffset <= mReadTo) {
            return true;
        }
        End last = mEnds.peekLast();
        if (last != null && last.offset() == endOffset) {
            mEnds.removeLast();
            mEnds.add(new End(endOffset, Math.max(last.asOfNanos(), sentNanos)));
        } else if (mEnds.size() < MAX_ENDS) {
            mEnds.add(new End(endOffset, sentNanos));
        }
        return false;
    }

    /** Records that a check failed. */
    void checkEnded(long sentNanos) {
        mChecks.remove(sentNanos);
    }

    /**
     * Records that all records before an offset have been delivered.
     *
     * @param sentNanos when the read was sent that returned the last of them
     * @param complete whether the store had no more when it answered
     * @return when it was known that there were no more; empty if it never was
     */
    OptionalLong readTo(long offset, long sentNanos, boolean complete) {
        mReadTo = mRead ? Math.max(mReadTo, offset) : offset;
        mRead = true;
        OptionalLong asOfNanos = complete ? OptionalLong.of(sentNanos) : OptionalLong.empty();
        while (!mEnds.isEmpty() && mEnds.peekFirst().offset() <= mReadTo) {
            long endNanos = mEnds.removeFirst().asOfNanos();
            if (asOfNanos.isEmpty() || endNanos - asOfNanos.getAsLong() > 0) {
                asOfNanos = OptionalLong.of(endNanos);
            }
        }
        return asOfNanos;
    }

    /** Returns how many further records the store is known to hold. */
    long missing() {
        End last = mEnds.peekLast();
        return last == null ? 0 : last.offset() - mReadTo;
    }

    /** Returns for how long the store has been known to hold further records; 0 if it is not. */
    long missingNanos(long nowNanos) {
        End first = mEnds.peekFirst();
        return first == null ? 0 : nowNanos - first.asOfNanos();
    }

    /**
     * Returns whether the store has sent nothing for a long time though it was asked more than
     * once.
     */
    boolean silent() {
        return mChecksSinceHeard >= SILENT_CHECKS && mSilentForNanos >= mSilentNanos;
    }
}
