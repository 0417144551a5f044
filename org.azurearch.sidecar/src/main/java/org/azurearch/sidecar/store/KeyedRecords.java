package org.azurearch.sidecar.store;

import java.util.List;

/**
 * Records of a stream.
 *
 * @param records the records; in the order of the stream if they were read from an offset on
 * @param endOffset the offset at which to continue reading
 * @param complete whether the stream had no further records when they were read
 */
public record KeyedRecords(List<KeyedRecord> records, long endOffset, boolean complete) {
    /** Copies the list. */
    public KeyedRecords {
        records = List.copyOf(records);
    }

    /** Creates all records of a stream. */
    public KeyedRecords(List<KeyedRecord> records, long endOffset) {
        this(records, endOffset, true);
    }
}
