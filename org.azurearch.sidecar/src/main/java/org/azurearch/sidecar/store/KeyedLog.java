package org.azurearch.sidecar.store;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's keyed log. Futures complete on the node's event loop and fail with {@link
 * org.azurearch.errors.AzurearchException}: {@code LOG_UNAVAILABLE}, {@code LOG_RESULT_UNKNOWN} or
 * {@code OFFSET_REMOVED}.
 */
public interface KeyedLog extends AutoCloseable {
    /** A stream of keyed records. */
    enum Stream {
        /** Configurations, written by operators. */
        CONFIG,
        /** Addresses of nodes, written by nodes. */
        NODES,
        /** States that operators read, written by nodes. */
        STATUS,
        /** States of roll-outs, written by nodes. */
        ROLLOUTS
    }

    /**
     * Returns the newest record of each key.
     *
     * @param stream the stream
     */
    CompletableFuture<KeyedRecords> newest(Stream stream);

    /**
     * Reads records from an offset on, waiting for the first one.
     *
     * @param stream the stream
     * @param offset the first offset to read
     * @param wait how long to wait if there is none
     */
    CompletableFuture<KeyedRecords> read(Stream stream, long offset, Duration wait);

    /**
     * Returns the end of a stream, by a small read that does not wait.
     *
     * @param stream the stream
     */
    CompletableFuture<Long> endOffset(Stream stream);

    /** Returns the {@link System#nanoTime()} at which bytes of the log have arrived last. */
    long lastReceivedNanos();

    /**
     * Appends a record.
     *
     * @param stream the stream
     * @param key the key
     * @param value the value; an empty one removes the key
     */
    CompletableFuture<Void> append(Stream stream, String key, byte[] value);

    /**
     * Appends a record if the stream ends at an offset; fails with {@code CONFLICT} if it does not.
     *
     * @param stream the stream
     * @param key the key
     * @param value the value; an empty one removes the key
     * @param endOffset the offset at which the stream must end
     */
    CompletableFuture<Void> appendAt(Stream stream, String key, byte[] value, long endOffset);

    /**
     * Lets the next requests use new connections, since those that are open may carry nothing any
     * more.
     */
    default void renewConnections() {}

    @Override
    void close();
}
