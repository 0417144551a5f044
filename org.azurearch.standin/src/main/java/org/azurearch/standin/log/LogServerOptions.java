package org.azurearch.standin.log;

import java.time.Duration;

/**
 * Options of the log stand-in.
 *
 * @param appendsPerSecond appends taken a second over all streams; more are answered with 429
 * @param retentionAge how long a record is kept
 * @param retentionRecords the most records that a stream keeps, 1 or more
 */
public record LogServerOptions(int appendsPerSecond, Duration retentionAge, int retentionRecords) {
    /** The platform's contract: 500 appends a second, a day of retention. */
    public static final LogServerOptions DEFAULT =
            new LogServerOptions(500, Duration.ofDays(1), 1_000_000);

    /** Returns the options with another append rate. */
    public LogServerOptions withAppendsPerSecond(int rate) {
        return new LogServerOptions(rate, retentionAge, retentionRecords);
    }

    /** Returns the options with another retention by age. */
    public LogServerOptions withRetentionAge(Duration age) {
        return new LogServerOptions(appendsPerSecond, age, retentionRecords);
    }

    /** Returns the options with another retention by count. */
    public LogServerOptions withRetentionRecords(int records) {
        return new LogServerOptions(appendsPerSecond, retentionAge, records);
    }
}
