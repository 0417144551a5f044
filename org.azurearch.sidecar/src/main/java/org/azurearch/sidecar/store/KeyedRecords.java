package org.azurearch.sidecar.store;

import java.util.List;

/**
 * Records of a stream.
 *
 * @param records the records, in the order of the stream where they were read from it
 * @param endOffset where reading goes on
 */
public record KeyedRecords(List<KeyedRecord> records, long endOffset) {
    /** Copies the list. */
    public KeyedRecords {
        records = List.copyOf(records);
    }
}
