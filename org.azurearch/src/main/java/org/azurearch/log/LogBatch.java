package org.azurearch.log;

import java.util.List;

/**
 * The result of a read.
 *
 * @param records consecutive records from the requested offset; empty if there are none yet
 * @param earliest the earliest offset that retention has not removed
 * @param end the offset that the next append will get
 */
public record LogBatch(List<LogRecord> records, long earliest, long end) {
    /** Takes a copy of the list. */
    public LogBatch {
        records = List.copyOf(records);
    }
}
