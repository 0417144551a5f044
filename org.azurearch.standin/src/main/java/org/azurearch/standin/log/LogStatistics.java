package org.azurearch.standin.log;

import java.util.Map;
import java.util.TreeMap;

/**
 * What the log stand-in has served since its start.
 *
 * @param connections connections open now
 * @param waiting long polls that wait for a record now
 * @param appendsLimited appends refused because of the rate
 * @param streams the counts by stream
 */
public record LogStatistics(
        int connections, int waiting, long appendsLimited, Map<String, Stream> streams) {
    /** Takes a sorted copy of the map. */
    public LogStatistics {
        streams = new TreeMap<>(streams);
    }

    /**
     * Counts of a stream.
     *
     * @param appends records appended
     * @param appendedBytes bytes of content appended
     * @param reads reads answered
     * @param readBytes bytes of content sent to readers
     * @param earliest the earliest offset that retention has left
     * @param end the offset that the next append gets
     */
    public record Stream(
            long appends,
            long appendedBytes,
            long reads,
            long readBytes,
            long earliest,
            long end) {}

    /** Returns the reads answered over all streams. */
    public long reads() {
        return streams.values().stream().mapToLong(Stream::reads).sum();
    }

    /** Returns the records appended over all streams. */
    public long appends() {
        return streams.values().stream().mapToLong(Stream::appends).sum();
    }

    /** Returns the bytes of content sent to readers over all streams. */
    public long readBytes() {
        return streams.values().stream().mapToLong(Stream::readBytes).sum();
    }
}
