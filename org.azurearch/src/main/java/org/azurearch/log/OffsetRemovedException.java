package org.azurearch.log;

import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;

/** Thrown when retention has removed the offset that a read asked for. */
public final class OffsetRemovedException extends AzurearchException {
    private static final long serialVersionUID = 1L;

    private final long mEarliest;

    /**
     * Creates an exception.
     *
     * @param requested the offset asked for
     * @param earliest the earliest offset that is left
     */
    public OffsetRemovedException(long requested, long earliest) {
        super(
                ErrorCode.OFFSET_REMOVED,
                "offset " + requested + " has been removed, the earliest left is " + earliest);
        mEarliest = earliest;
    }

    /** Returns the earliest offset that is left. */
    public long earliest() {
        return mEarliest;
    }
}
