package org.azurearch.sidecar.internal.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.sidecar.store.KeyedLog;
import org.azurearch.sidecar.store.KeyedRecord;
import org.azurearch.sidecar.store.KeyedRecords;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a reader that stops following. */
class StoreReaderTest {
    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final DefaultEventLoop mLoop = new DefaultEventLoop();
    private final Deque<CompletableFuture<KeyedRecords>> mReads = new ArrayDeque<>();
    private final Deque<CompletableFuture<Long>> mEnds = new ArrayDeque<>();
    private final List<String> mConfigs = new ArrayList<>();
    private final List<Long> mUpToDate = new ArrayList<>();
    private final List<Boolean> mReachable = new ArrayList<>();

    @AfterEach
    void stop() {
        mLoop.shutdownGracefully();
    }

    @Test
    void readsOnAfterRecordsThatCannotBeProcessed() {
        StoreReader reader =
                new StoreReader(
                        new ManualLog(), mLoop, new PollSchedule(2_000), "config", new Listener());
        reader.setActive(true);
        complete("odd");
        complete("good");
        complete("odd");
        complete("better");
        assertEquals(List.of("good", "better"), mConfigs);
        assertEquals(List.of(true, true, true, true), mReachable);
    }

    @Test
    void pollWithoutAnswerInTimeIsFollowedByAnotherRead() {
        mChannel.freezeTime();
        StoreReader reader =
                new StoreReader(
                        new ManualLog(),
                        mChannel.eventLoop(),
                        new PollSchedule(2_000),
                        "config",
                        new Listener());
        reader.setActive(true);
        complete("first");
        CompletableFuture<KeyedRecords> lost = mReads.poll();
        advance(1_190);
        assertEquals(1, mUpToDate.size(), "a poll without an answer shows nothing");
        assertEquals(List.of("first"), mConfigs);
        assertTrue(mReads.isEmpty());
        advance(20);
        assertEquals(1, mUpToDate.size());
        complete("second");
        assertEquals(2, mUpToDate.size());
        assertTrue(mUpToDate.get(1) - mUpToDate.get(0) > 0);
        assertEquals(1, mReads.size());
        lost.complete(records("late"));
        assertEquals(2, mUpToDate.size(), "the answer to an earlier read shows nothing new");
        assertEquals(1, mReads.size());
        complete("third");
        assertEquals(List.of("first", "second", "late", "third"), mConfigs);
        assertEquals(List.of(true, true, true), mReachable);
    }

    @Test
    void answeredPollIsNotFollowedByAnother() {
        mChannel.freezeTime();
        new StoreReader(
                        new ManualLog(),
                        mChannel.eventLoop(),
                        new PollSchedule(2_000),
                        "config",
                        new Listener())
                .setActive(true);
        complete("first");
        advance(1_000);
        complete("second");
        advance(1_000);
        assertEquals(1, mReads.size());
    }

    /** Guards against a data centre that goes on with what it has beside a store that is late. */
    @Test
    void lateAnswerShowsThatTheStoreCanBeReached() {
        mChannel.freezeTime();
        new StoreReader(
                        new ManualLog(),
                        mChannel.eventLoop(),
                        new PollSchedule(2_000),
                        "config",
                        new Listener())
                .setActive(true);
        complete("first");
        mReads.remove()
                .completeExceptionally(
                        new AzurearchException(ErrorCode.LOG_RESULT_UNKNOWN, "no reply"));
        assertEquals(List.of(true, false), mReachable);
        mEnds.remove().complete(1L);
        assertEquals(List.of(true, false, true), mReachable);
        advance(1_000);
        complete("second");
        assertEquals(List.of("first", "second"), mConfigs);
    }

    private void advance(long millis) {
        mChannel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
    }

    private void complete(String value) {
        CompletableFuture<KeyedRecords> read = mReads.poll();
        assertTrue(read != null, "no read is under way");
        read.complete(records(value));
    }

    private static KeyedRecords records(String value) {
        KeyedRecord record = new KeyedRecord("config", value.getBytes(), 0);
        return new KeyedRecords(List.of(record), 1);
    }

    /** Fails to process odd records. */
    private final class Listener implements StoreReader.Listener {
        @Override
        public void configRead(byte[] content) {
            String text = new String(content);
            if (text.equals("odd")) {
                throw new IllegalArgumentException(text);
            }
            mConfigs.add(text);
        }

        @Override
        public void recordsRead(List<KeyedRecord> records, long newestEnd) {
            if (new String(records.get(0).value()).equals("odd")) {
                throw new IllegalStateException();
            }
        }

        @Override
        public void upToDate(long asOfNanos) {
            mUpToDate.add(asOfNanos);
        }

        @Override
        public void reachable(boolean reachable) {
            mReachable.add(reachable);
        }
    }

    /** Leaves reads to be completed by the test. */
    private final class ManualLog implements KeyedLog {
        private final long mCreatedNanos = System.nanoTime() - TimeUnit.MINUTES.toNanos(1);

        @Override
        public CompletableFuture<Long> endOffset(Stream stream) {
            CompletableFuture<Long> end = new CompletableFuture<>();
            mEnds.add(end);
            return end;
        }

        @Override
        public long lastReceivedNanos() {
            return mCreatedNanos;
        }

        @Override
        public CompletableFuture<KeyedRecords> newest(Stream stream) {
            CompletableFuture<KeyedRecords> read = new CompletableFuture<>();
            mReads.add(read);
            return read;
        }

        @Override
        public CompletableFuture<KeyedRecords> read(Stream stream, long offset, Duration wait) {
            return newest(stream);
        }

        @Override
        public CompletableFuture<Void> append(Stream stream, String key, byte[] value) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<Void> appendAt(
                Stream stream, String key, byte[] value, long endOffset) {
            return append(stream, key, value);
        }

        @Override
        public void close() {}
    }
}
