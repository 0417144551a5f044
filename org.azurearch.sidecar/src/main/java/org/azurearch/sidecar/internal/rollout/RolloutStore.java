package org.azurearch.sidecar.internal.rollout;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.Completions;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.internal.fold.ThriftBytes;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.rollout.RolloutCodec;
import org.azurearch.sidecar.rollout.RolloutState;
import org.azurearch.sidecar.store.KeyedLog;
import org.azurearch.sidecar.store.KeyedRecord;
import org.azurearch.sidecar.store.KeyedRecords;
import org.azurearch.thrift.WireRolloutState;
import org.jspecify.annotations.Nullable;

/**
 * Saves states and status records by conditional appends, so that of two coordinators only one
 * takes a step and nothing moves backward. Calls are priced: a stream is read once, and again only
 * after a conflict or an append of unknown result. Confined to one event loop.
 */
final class RolloutStore {
    /** The end and the newest records of a stream, as far as they are known. */
    private static final class Known {
        private long mEnd = -1;
        private final Map<String, byte[]> mNewest = new HashMap<>();
    }

    /** Attempts of one append when others append to the stream at the same time. */
    private static final int MAX_CONFLICTS = 8;

    private final KeyedLog mLog;
    private final RolloutCodec mCodec;
    private final Known mStates = new Known();
    private final Known mStatus = new Known();

    RolloutStore(KeyedLog log, RolloutCodec codec) {
        mLog = log;
        mCodec = codec;
    }

    /** Reads the state of a service; null if there is none. */
    CompletableFuture<@Nullable RolloutState> load(String service) {
        return read(KeyedLog.Stream.ROLLOUTS, mStates).thenApply(done -> decode(service));
    }

    /** Saves a state unless the store has a newer one; returns the one that the store has then. */
    CompletableFuture<RolloutState> save(RolloutState state) {
        return save(state, MAX_CONFLICTS);
    }

    private CompletableFuture<RolloutState> save(RolloutState state, int attempts) {
        return readIfUnknown(KeyedLog.Stream.ROLLOUTS, mStates)
                .thenCompose(
                        done -> {
                            RolloutState saved = decode(state.service());
                            if (saved != null && !state.supersedes(saved)) {
                                return CompletableFuture.completedFuture(saved);
                            }
                            WireRolloutState wire = RolloutWire.toWire(state);
                            wire.setSavedAtMillis(System.currentTimeMillis());
                            String key = mCodec.keyPrefix() + state.service();
                            return append(
                                            KeyedLog.Stream.ROLLOUTS,
                                            mStates,
                                            key,
                                            ThriftBytes.write(wire))
                                    .thenCompose(
                                            appended ->
                                                    appended || attempts == 0
                                                            ? appendedState(state, appended)
                                                            : save(state, attempts - 1));
                        });
    }

    private static CompletableFuture<RolloutState> appendedState(
            RolloutState state, boolean appended) {
        return appended
                ? CompletableFuture.completedFuture(state)
                : CompletableFuture.failedFuture(
                        new AzurearchException(ErrorCode.CONFLICT, "others append all the time"));
    }

    /** Writes the status for operators unless it states the decision on the version already. */
    CompletableFuture<Boolean> publish(RolloutState state) {
        return publish(state, MAX_CONFLICTS);
    }

    private CompletableFuture<Boolean> publish(RolloutState state, int attempts) {
        String key = mCodec.keyPrefix() + state.service();
        byte[] status = mCodec.status(state);
        return readIfUnknown(KeyedLog.Stream.STATUS, mStatus)
                .thenCompose(
                        done -> {
                            byte[] known = mStatus.mNewest.getOrDefault(key, new byte[0]);
                            if (Arrays.equals(known, status)) {
                                return CompletableFuture.completedFuture(true);
                            }
                            boolean contested =
                                    attempts < MAX_CONFLICTS
                                            || mCodec.isFinal(known, state.targetVersion());
                            return (contested
                                            ? read(KeyedLog.Stream.ROLLOUTS, mStates)
                                            : CompletableFuture.completedFuture(null))
                                    .thenCompose(read -> publish(state, key, status, attempts));
                        });
    }

    /** Appends a status unless the state has moved on since, as after a pause of this process. */
    private CompletableFuture<Boolean> publish(
            RolloutState state, String key, byte[] status, int attempts) {
        RolloutState saved = decode(state.service());
        if (saved != null && saved.supersedes(state)) {
            return CompletableFuture.completedFuture(true);
        }
        return append(KeyedLog.Stream.STATUS, mStatus, key, status)
                .thenCompose(
                        appended ->
                                appended || attempts == 0
                                        ? CompletableFuture.completedFuture(appended)
                                        : publish(state, attempts - 1));
    }

    private CompletableFuture<Boolean> append(
            KeyedLog.Stream stream, Known known, String key, byte[] value) {
        return mLog.appendAt(stream, key, value, known.mEnd)
                .handle(
                        (done, failure) -> {
                            if (failure == null) {
                                known.mEnd++;
                                known.mNewest.put(key, value);
                                return true;
                            }
                            known.mEnd = -1;
                            Throwable cause = Completions.unwrap(failure);
                            if (cause instanceof AzurearchException error
                                    && error.code() == ErrorCode.CONFLICT) {
                                return false;
                            }
                            throw new CompletionException(cause);
                        });
    }

    private CompletableFuture<?> readIfUnknown(KeyedLog.Stream stream, Known known) {
        return known.mEnd >= 0 ? CompletableFuture.completedFuture(null) : read(stream, known);
    }

    private CompletableFuture<?> read(KeyedLog.Stream stream, Known known) {
        return mLog.newest(stream).thenAccept(records -> store(records, known));
    }

    private static void store(KeyedRecords records, Known known) {
        known.mEnd = records.endOffset();
        known.mNewest.clear();
        for (KeyedRecord record : records.records()) {
            known.mNewest.put(record.key(), record.value());
        }
    }

    private @Nullable RolloutState decode(String service) {
        String key = mCodec.keyPrefix() + service;
        byte[] value = mStates.mNewest.get(key);
        try {
            return value == null || value.length == 0 ? null : SavedStates.decode(value);
        } catch (RuntimeException e) {
            EventLog.log(
                    SidecarEvent.STORE_RECORD_UNREADABLE,
                    KeyedLog.Stream.ROLLOUTS,
                    key,
                    -1,
                    e.toString());
            return null;
        }
    }
}
