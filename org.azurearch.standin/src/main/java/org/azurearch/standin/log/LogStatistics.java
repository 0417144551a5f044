package org.azurearch.standin.log;

import java.util.Map;
import java.util.TreeMap;

/**
 * Statistics of the log stand-in since its start.
 *
 * @param connections open connections
 * @param waiting long polls currently waiting for a record
 * @param appendsLimited appends rejected by the rate limit
 * @param streams the statistics by stream name
 */
public record LogStatistics(
        int connections, int waiting, long appendsLimited, Map<String, Stream> streams) {
    /** Copies the map, sorted by stream name. */
    public LogStatistics {
        streams = new TreeMap<>(streams);
    }

    /**
     * Statistics of one stream.
     *
     * @param appends records appended
     * @param appendedBytes record bytes appended
     * @param reads reads answered
     * @param readBytes record bytes sent to readers
     * @param earliest the earliest offset still retained
     * @param end the offset of the next append
     */
    public record Stream(
            long appends,
            long appendedBytes,
            long reads,
            long readBytes,
            long earliest,
            long end) {}

    /** Returns the number of reads answered over all streams. */
    public long reads() {
        return streams.values().stream().mapToLong(Stream::reads).sum();
    }

    /** Returns the number of records appended over all streams. */
    public long appends() {
        return streams.values().stream().mapToLong(Stream::appends).sum();
    }

    /** Returns the record bytes sent to readers over all streams. */
    public long readBytes() {
        return streams.values().stream().mapToLong(Stream::readBytes).sum();
    }
}
