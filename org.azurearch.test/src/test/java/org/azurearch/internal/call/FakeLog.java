package org.azurearch.internal.call;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.azurearch.lib.StreamId;
import org.azurearch.log.LogBatch;
import org.azurearch.log.LogClient;
import org.azurearch.log.LogRecord;

/** An in-memory log that can fail, lose the answers to appends and delay reads. */
final class FakeLog implements LogClient {
    private final List<LogRecord> mRecords = new ArrayList<>();
    private final List<Runnable> mWaitingReads = new ArrayList<>();
    volatile RuntimeException mFailure;
    volatile boolean mFailAfterAppend;
    volatile boolean mHoldReads;

    /** Completes the delayed reads. */
    synchronized void releaseReads() {
        mHoldReads = false;
        runWaitingReads();
    }

    private void runWaitingReads() {
        List<Runnable> waiting = List.copyOf(mWaitingReads);
        mWaitingReads.clear();
        waiting.forEach(Runnable::run);
    }

    @Override
    public synchronized CompletableFuture<Long> append(StreamId stream, byte[] data) {
        RuntimeException failure = mFailure;
        if (failure != null && !mFailAfterAppend) {
            return CompletableFuture.failedFuture(failure);
        }
        long offset = mRecords.size();
        mRecords.add(new LogRecord(offset, System.currentTimeMillis(), data));
        runWaitingReads();
        return failure == null
                ? CompletableFuture.completedFuture(offset)
                : CompletableFuture.failedFuture(failure);
    }

    @Override
    public synchronized CompletableFuture<LogBatch> read(
            StreamId stream, long offset, int maxBytes, Duration wait) {
        if (mFailure != null && !mFailAfterAppend) {
            return CompletableFuture.failedFuture(mFailure);
        }
        if (mHoldReads || offset >= mRecords.size()) {
            CompletableFuture<LogBatch> later = new CompletableFuture<>();
            mWaitingReads.add(
                    () -> read(stream, offset, maxBytes, wait).thenAccept(later::complete));
            return later;
        }
        int first = (int) Math.min(offset, mRecords.size());
        return CompletableFuture.completedFuture(
                new LogBatch(mRecords.subList(first, mRecords.size()), 0, mRecords.size()));
    }

    @Override
    public void close() {}
}
