package org.azurearch.log;

import java.util.List;

/**
 * The answer to a read.
 *
 * @param records consecutive records from the offset asked for; empty when there is none yet
 * @param earliest the earliest offset that retention has left
 * @param end the offset that the next append will get
 */
public record LogBatch(List<LogRecord> records, long earliest, long end) {
    /** Takes a copy of the list. */
    public LogBatch {
        records = List.copyOf(records);
    }
}
