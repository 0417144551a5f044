package org.azurearch.standin.log;

import java.time.Duration;

/**
 * Options of the log stand-in.
 *
 * @param appendsPerSecond the append limit per second over all streams; appends above it are
 *     answered with 429
 * @param retentionAge how long a record is kept
 * @param retentionRecords the maximum number of records kept per stream, at least 1
 */
public record LogServerOptions(int appendsPerSecond, Duration retentionAge, int retentionRecords) {
    /** The limits of the platform's log: 500 appends per second, one day of retention. */
    public static final LogServerOptions DEFAULT =
            new LogServerOptions(500, Duration.ofDays(1), 1_000_000);

    /** Returns a copy with the given append rate. */
    public LogServerOptions withAppendsPerSecond(int rate) {
        return new LogServerOptions(rate, retentionAge, retentionRecords);
    }

    /** Returns a copy with the given retention by age. */
    public LogServerOptions withRetentionAge(Duration age) {
        return new LogServerOptions(appendsPerSecond, age, retentionRecords);
    }

    /** Returns a copy with the given retention by count. */
    public LogServerOptions withRetentionRecords(int records) {
        return new LogServerOptions(appendsPerSecond, retentionAge, records);
    }
}
