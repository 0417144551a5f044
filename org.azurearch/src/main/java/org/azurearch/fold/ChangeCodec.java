package org.azurearch.fold;

import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.internal.fold.ChangeRecord;

/** Converts changes to and from records of the change stream. */
public final class ChangeCodec {
    private ChangeCodec() {}

    /**
     * Returns the record of a change.
     *
     * @throws AzurearchException with {@link ErrorCode#TOO_LARGE} when it exceeds the limit
     */
    public static byte[] encode(Change change) {
        return ChangeRecord.encode(change);
    }

    /**
     * Reads the change of a record.
     *
     * @throws AzurearchException with {@link ErrorCode#CORRUPT} when it is malformed
     */
    public static Change decode(byte[] data) {
        Change change = ChangeRecord.read(data).change();
        if (change == null) {
            throw new AzurearchException(ErrorCode.CORRUPT, "the record is not a valid change");
        }
        return change;
    }
}
