package org.azurearch.log;

import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;

/** Thrown when retention has removed the offset of a read. */
public final class OffsetRemovedException extends AzurearchException {
    private static final long serialVersionUID = 1L;

    private final long mEarliest;

    /**
     * Creates an exception.
     *
     * @param requested the offset of the read
     * @param earliest the earliest offset available
     */
    public OffsetRemovedException(long requested, long earliest) {
        super(
                ErrorCode.OFFSET_REMOVED,
                "offset "
                        + requested
                        + " has been removed by retention, the earliest available is "
                        + earliest);
        mEarliest = earliest;
    }

    /** Returns the earliest offset available. */
    public long earliest() {
        return mEarliest;
    }
}
