package org.azurearch.internal.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.StreamId;
import org.azurearch.log.LogBatch;
import org.azurearch.log.LogClient;
import org.azurearch.log.LogRecord;
import org.azurearch.log.OffsetRemovedException;
import org.azurearch.time.TimerService;

/** In-memory log on the test's clock, with injectable faults. */
final class FakeLog {
    private static final Duration LATENCY = Duration.ofMillis(2);
    private static final StreamId CHANGES = StreamId.fromString("m.changes");

    final Set<String> mReadersOfChanges = new TreeSet<>();
    boolean mDown;
    boolean mLoseNextAppendReply;
    int mAppends;
    int mReads;
    long mServedBytes;

    private final TimerService mTimers;
    private final Map<StreamId, Stream> mStreams = new HashMap<>();

    private static final class Stream {
        private final List<LogRecord> mRecords = new ArrayList<>();
        private final List<Runnable> mWaiting = new ArrayList<>();
        private int mEarliest;
    }

    FakeLog(TimerService timers) {
        mTimers = timers;
    }

    /** Returns a client for a node. */
    LogClient client(String node, BooleanSupplier cut) {
        return new Client(node, cut);
    }

    /** Appends immediately, regardless of injected faults. */
    long append(StreamId stream, byte[] data) {
        Stream target = stream(stream);
        int offset = target.mRecords.size();
        target.mRecords.add(new LogRecord(offset, mTimers.time().wallMillis(), data));
        List<Runnable> waiting = List.copyOf(target.mWaiting);
        target.mWaiting.clear();
        waiting.forEach(Runnable::run);
        return offset;
    }

    /** Removes the records before an offset. */
    void retainFrom(StreamId stream, long earliest) {
        stream(stream).mEarliest = (int) earliest;
    }

    /** Returns the number of records ever appended to a stream. */
    int end(StreamId stream) {
        return stream(stream).mRecords.size();
    }

    /** Flips a bit in the last byte of a record. */
    void corrupt(StreamId stream, int offset) {
        LogRecord record = stream(stream).mRecords.get(offset);
        byte[] data = record.data().clone();
        data[data.length - 1] ^= 1;
        stream(stream).mRecords.set(offset, new LogRecord(offset, record.appendedAtMillis(), data));
    }

    private Stream stream(StreamId id) {
        return mStreams.computeIfAbsent(id, key -> new Stream());
    }

    private final class Client implements LogClient {
        private final String mNode;
        private final BooleanSupplier mCut;

        private Client(String node, BooleanSupplier cut) {
            mNode = node;
            mCut = cut;
        }

        @Override
        public CompletableFuture<Long> append(StreamId stream, byte[] data) {
            CompletableFuture<Long> result = new CompletableFuture<>();
            mTimers.after(LATENCY, () -> append(stream, data, result));
            return result;
        }

        private void append(StreamId stream, byte[] data, CompletableFuture<Long> result) {
            if (unavailable()) {
                result.completeExceptionally(
                        new AzurearchException(ErrorCode.LOG_UNAVAILABLE, "the log is down"));
                return;
            }
            mAppends++;
            long offset = FakeLog.this.append(stream, data);
            if (mLoseNextAppendReply) {
                mLoseNextAppendReply = false;
                result.completeExceptionally(
                        new AzurearchException(ErrorCode.LOG_RESULT_UNKNOWN, "reply lost"));
            } else {
                result.complete(offset);
            }
        }

        @Override
        public CompletableFuture<LogBatch> read(
                StreamId stream, long offset, int maxBytes, Duration wait) {
            if (stream.equals(CHANGES)) {
                mReadersOfChanges.add(mNode);
            }
            CompletableFuture<LogBatch> result = new CompletableFuture<>();
            mTimers.after(LATENCY, () -> read(stream, offset, maxBytes, wait, result));
            return result;
        }

        private void read(
                StreamId id,
                long offset,
                int maxBytes,
                Duration wait,
                CompletableFuture<LogBatch> result) {
            Stream stream = stream(id);
            if (unavailable()) {
                result.completeExceptionally(
                        new AzurearchException(ErrorCode.LOG_UNAVAILABLE, "the log is down"));
            } else if (offset < stream.mEarliest) {
                result.completeExceptionally(new OffsetRemovedException(offset, stream.mEarliest));
            } else if (offset >= stream.mRecords.size() && !wait.isZero()) {
                stream.mWaiting.add(() -> answer(stream, offset, maxBytes, result));
                mTimers.after(wait, () -> answer(stream, offset, maxBytes, result));
            } else {
                answer(stream, offset, maxBytes, result);
            }
        }

        private void answer(
                Stream stream, long offset, int maxBytes, CompletableFuture<LogBatch> result) {
            if (unavailable()) {
                result.completeExceptionally(
                        new AzurearchException(ErrorCode.LOG_UNAVAILABLE, "the log is down"));
                return;
            }
            List<LogRecord> records = new ArrayList<>();
            int bytes = 0;
            for (int i = (int) offset; i < stream.mRecords.size(); i++) {
                bytes += stream.mRecords.get(i).data().length;
                if (!records.isEmpty() && bytes > maxBytes) {
                    break;
                }
                records.add(stream.mRecords.get(i));
            }
            if (result.complete(new LogBatch(records, stream.mEarliest, stream.mRecords.size()))) {
                mReads++;
                records.forEach(record -> mServedBytes += record.data().length);
            }
        }

        private boolean unavailable() {
            return mDown || mCut.getAsBoolean();
        }

        @Override
        public void close() {}
    }
}
