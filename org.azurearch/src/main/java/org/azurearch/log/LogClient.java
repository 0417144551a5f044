package org.azurearch.log;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.azurearch.lib.StreamId;

/**
 * The platform's append-only log. It offers no compare-and-set.
 *
 * <p>Futures fail with {@link org.azurearch.errors.AzurearchException}: {@code LOG_UNAVAILABLE}
 * when the call certainly had no effect, {@code LOG_RESULT_UNKNOWN} when an append may have taken
 * effect, and {@link OffsetRemovedException} when retention has removed the offset.
 */
public interface LogClient extends AutoCloseable {
    /**
     * Appends a record.
     *
     * @param stream the stream; it comes into being with its first record
     * @param data the content
     * @return the offset of the record
     */
    CompletableFuture<Long> append(StreamId stream, byte[] data);

    /**
     * Reads records.
     *
     * @param stream the stream
     * @param offset the first offset wanted; the end of the stream waits for the next record
     * @param maxBytes a bound on the content returned; one record is returned even if larger
     * @param wait how long to wait for a record when there is none; zero for not at all
     */
    CompletableFuture<LogBatch> read(StreamId stream, long offset, int maxBytes, Duration wait);

    @Override
    void close();
}
