package org.azurearch.sidecar.admit;

/**
 * Decides whether a call may start, by the memory that answers take. It answers the load of large
 * answers to callers that read slowly: answers are held whole until their caller has read them, and
 * a heap that is full ends the process and all of its calls.
 *
 * <p>Answers that are there are always delivered; what would exceed the limit is refused before it
 * runs. Confined to one thread.
 */
public final class AnswerMemory {
    private final long mMaxBytes;
    private double mReservedBytes;

    /**
     * Creates the account of a node.
     *
     * @param maxBytes the largest size of the answers that are held or awaited, in bytes
     */
    public AnswerMemory(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /**
     * Reserves memory for the answer of a call; returns whether there is enough. A single answer is
     * always allowed.
     *
     * @param expectedBytes the expected size of the answer
     * @param heldBytes the size of the answers that callers have not read yet
     */
    public boolean tryReserve(double expectedBytes, long heldBytes) {
        double used = mReservedBytes + heldBytes;
        if (used > 0 && used + expectedBytes > mMaxBytes) {
            return false;
        }
        mReservedBytes += expectedBytes;
        return true;
    }

    /** Returns whether there is memory for a further answer beside those held or awaited. */
    public boolean hasRoom(double expectedBytes, long heldBytes) {
        return mReservedBytes + heldBytes + expectedBytes <= mMaxBytes;
    }

    /** Returns the memory that was reserved for the answer of a call, which has ended. */
    public void release(double expectedBytes) {
        mReservedBytes = Math.max(0, mReservedBytes - expectedBytes);
    }
}
