package org.azurearch.sidecar.internal.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.internal.fold.ThriftBytes;
import org.azurearch.sidecar.rollout.RolloutCodec;
import org.azurearch.sidecar.rollout.RolloutOrder;
import org.azurearch.sidecar.rollout.RolloutState;
import org.azurearch.sidecar.rollout.Verdict;
import org.azurearch.sidecar.store.KeyedLog;
import org.azurearch.sidecar.store.KeyedRecord;
import org.azurearch.sidecar.store.KeyedRecords;
import org.junit.jupiter.api.Test;

/** Guards against a record of another writer after which no state or status is written. */
class RolloutStoreTest {
    private static final String KEY = "rollout/s";
    private static final byte[] ODD = "[[[[".getBytes(StandardCharsets.UTF_8);

    private final Map<KeyedLog.Stream, byte[]> mNewest = new HashMap<>();
    private boolean mConflict;

    @Test
    void statusIsWrittenOverUnreadableState() throws Exception {
        byte[] unknownVerdict = ThriftBytes.write(RolloutWire.toWire(state()).setVerdict(99));
        for (byte[] odd : List.of(ODD, unknownVerdict)) {
            mNewest.put(KeyedLog.Stream.ROLLOUTS, odd);
            mNewest.put(KeyedLog.Stream.STATUS, new byte[] {1});
            mConflict = true;
            RolloutStore store = new RolloutStore(new NewestLog(), new TextCodec());
            assertEquals(true, store.publish(state()).get(20, TimeUnit.SECONDS));
            assertEquals("done", new String(mNewest.get(KeyedLog.Stream.STATUS)));
        }
    }

    @Test
    void stateIsSavedOverOneThatCannotBeRead() throws Exception {
        mNewest.put(KeyedLog.Stream.ROLLOUTS, ODD);
        RolloutStore store = new RolloutStore(new NewestLog(), new TextCodec());
        assertEquals(null, store.load("s").get(20, TimeUnit.SECONDS));
        store.save(state()).get(20, TimeUnit.SECONDS);
        assertEquals(
                Verdict.COMPLETED,
                SavedStates.decode(mNewest.get(KeyedLog.Stream.ROLLOUTS)).verdict());
    }

    private static RolloutState state() {
        return new RolloutState(
                "s",
                1,
                "v2",
                "v1",
                Verdict.COMPLETED,
                1,
                1,
                1_000,
                10,
                Set.of(),
                Map.of(),
                Map.of());
    }

    /** Writes a fixed status. */
    private static final class TextCodec implements RolloutCodec {
        @Override
        public String keyPrefix() {
            return "rollout/";
        }

        @Override
        public RolloutOrder decode(String service, byte[] content, long id) {
            throw new UnsupportedOperationException();
        }

        @Override
        public byte[] status(RolloutState state) {
            return "done".getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public boolean isFinal(byte[] status, String targetVersion) {
            return false;
        }
    }

    /** Holds one key per stream; the first append conflicts if the test says so. */
    private final class NewestLog implements KeyedLog {
        private final long mCreatedNanos = System.nanoTime() - TimeUnit.MINUTES.toNanos(1);

        @Override
        public CompletableFuture<Long> endOffset(Stream stream) {
            return CompletableFuture.completedFuture(0L);
        }

        @Override
        public long lastReceivedNanos() {
            return mCreatedNanos;
        }

        @Override
        public CompletableFuture<KeyedRecords> newest(Stream stream) {
            List<KeyedRecord> records =
                    mNewest.containsKey(stream)
                            ? List.of(new KeyedRecord(KEY, mNewest.get(stream), 0))
                            : List.of();
            return CompletableFuture.completedFuture(new KeyedRecords(records, 1));
        }

        @Override
        public CompletableFuture<KeyedRecords> read(Stream stream, long offset, Duration wait) {
            return newest(stream);
        }

        @Override
        public CompletableFuture<Void> append(Stream stream, String key, byte[] value) {
            mNewest.put(stream, value);
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<Void> appendAt(
                Stream stream, String key, byte[] value, long endOffset) {
            if (mConflict) {
                mConflict = false;
                return CompletableFuture.failedFuture(
                        new AzurearchException(ErrorCode.CONFLICT, "moved on"));
            }
            return append(stream, key, value);
        }

        @Override
        public void close() {}
    }
}
