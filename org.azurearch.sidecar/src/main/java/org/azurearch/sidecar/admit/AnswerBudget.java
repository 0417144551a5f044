package org.azurearch.sidecar.admit;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Limits the bytes of incomplete answers that are held. It answers the load of many large answers,
 * or of bytes without end, at a time: memory that is full stops the process and all of its calls.
 *
 * <p>Every answer may take a small share, so that small ones never wait. Larger ones are paused
 * while the budget is used up, except for the oldest, which is read to its end and so makes room.
 * Held are thus at most the budget, one answer of the largest size, and the shares. Confined to one
 * thread.
 */
public final class AnswerBudget {
    /** The connection that an answer is read from. */
    public interface Reader {
        /** Stops reading. */
        void pause();

        /** Reads on. */
        void resume();
    }

    /**
     * Fraction of the memory for answers above the share; one answer of the largest size and the
     * copies of bodies that grow come on top.
     */
    private static final double MEMORY_FRACTION = 0.2;

    /** Most answers are within it. */
    private static final int SHARE_BYTES = 128 * 1024;

    private final long mMaxBytes;
    private final int mShareBytes;
    private final Set<Holding> mLarge = new LinkedHashSet<>();
    private long mLargeBytes;
    private int mPaused;

    /**
     * Creates an unused budget.
     *
     * @param maxBytes the bytes that answers above the share may take together
     * @param shareBytes the bytes that each answer may take in any case
     */
    public AnswerBudget(long maxBytes, int shareBytes) {
        mMaxBytes = maxBytes;
        mShareBytes = shareBytes;
    }

    /**
     * Creates an unused budget for a process.
     *
     * @param memoryBytes the size of the heap, which is that of direct memory, too
     */
    public static AnswerBudget of(long memoryBytes) {
        return new AnswerBudget((long) (MEMORY_FRACTION * memoryBytes), SHARE_BYTES);
    }

    /** Returns the holding of a connection, which is empty. */
    public Holding open(Reader reader) {
        return new Holding(reader);
    }

    /** Returns the bytes that answers above the share take. */
    public long largeBytes() {
        return mLargeBytes;
    }

    /** Returns the number of answers that are paused. */
    public int paused() {
        return mPaused;
    }

    /** What is held of the answer that a connection reads. */
    public final class Holding {
        private final Reader mReader;
        private long mBytes;
        private boolean mReadingPaused;

        private Holding(Reader reader) {
            mReader = reader;
        }

        /** Adds bytes that were read. */
        public void add(int bytes) {
            mBytes += bytes;
            if (mBytes <= mShareBytes) {
                return;
            }
            mLargeBytes += mLarge.add(this) ? mBytes : bytes;
            if (mLargeBytes > mMaxBytes && this != oldest()) {
                setPaused(true);
            }
        }

        /** Ends the answer, which is complete or given up. */
        public void end() {
            if (mLarge.remove(this)) {
                mLargeBytes -= mBytes;
            }
            mBytes = 0;
            setPaused(false);
            resumeOthers();
        }

        private void setPaused(boolean paused) {
            if (paused == mReadingPaused) {
                return;
            }
            mReadingPaused = paused;
            if (paused) {
                mPaused++;
                mReader.pause();
            } else {
                mPaused--;
                mReader.resume();
            }
        }
    }

    private @Nullable Holding oldest() {
        return mLarge.isEmpty() ? null : mLarge.iterator().next();
    }

    private void resumeOthers() {
        if (mPaused == 0) {
            return;
        }
        for (Holding holding : List.copyOf(mLarge)) {
            if (mLargeBytes <= mMaxBytes || holding == oldest()) {
                holding.setPaused(false);
            }
        }
    }
}
