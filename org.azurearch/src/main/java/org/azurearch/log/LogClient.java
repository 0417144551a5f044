package org.azurearch.log;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.azurearch.lib.StreamId;

/**
 * Client of the platform's append-only log, which has no compare-and-set.
 *
 * <p>Futures fail with {@link org.azurearch.errors.AzurearchException}: {@code LOG_UNAVAILABLE}
 * when the call certainly had no effect, {@code LOG_RESULT_UNKNOWN} when an append may have taken
 * effect, and {@link OffsetRemovedException} when retention has removed the offset.
 */
public interface LogClient extends AutoCloseable {
    /**
     * Appends a record.
     *
     * @param stream the stream; its first record creates it
     * @param data the content
     * @return the offset of the record
     */
    CompletableFuture<Long> append(StreamId stream, byte[] data);

    /**
     * Reads records.
     *
     * @param stream the stream
     * @param offset the first offset to return; a read at the end of the stream waits for the next
     *     record
     * @param maxBytes the limit on the content returned, in bytes; the first record is returned
     *     even if it is larger
     * @param wait how long to wait for a record if there is none; zero to return at once
     */
    CompletableFuture<LogBatch> read(StreamId stream, long offset, int maxBytes, Duration wait);

    @Override
    void close();
}
