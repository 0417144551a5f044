package org.azurearch.sidecar.store;

import java.util.List;

/**
 * Records of a stream.
 *
 * @param records the records; in the order of the stream if they were read from an offset on
 * @param endOffset the offset at which to continue reading
 */
public record KeyedRecords(List<KeyedRecord> records, long endOffset) {
    /** Copies the list. */
    public KeyedRecords {
        records = List.copyOf(records);
    }
}
