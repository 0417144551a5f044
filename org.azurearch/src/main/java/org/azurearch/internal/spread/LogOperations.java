package org.azurearch.internal.spread;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.Completions;
import org.azurearch.events.EventLog;
import org.azurearch.fold.FoldState;
import org.azurearch.lib.Digest;
import org.azurearch.lib.StreamId;
import org.azurearch.log.LogBatch;
import org.azurearch.log.LogClient;
import org.azurearch.log.LogRecord;
import org.azurearch.log.OffsetRemovedException;
import org.azurearch.spread.Position;
import org.azurearch.time.TimerService;
import org.jspecify.annotations.Nullable;

/** Executes the core's reads and appends on the log and converts the replies to inputs. */
final class LogOperations {
    private static final Duration APPEND_SPACING = Duration.ofMillis(100);

    private static final Position NO_POSITION = new Position(-1, Digest.EMPTY);

    private final LogClient mLog;
    private final StreamId mChangeStream;
    private final StreamId mSnapshotStream;
    private final FoldFormat mFormat;
    private final TimerService mTimers;
    private final Consumer<SpreadInput> mInputs;

    LogOperations(
            LogClient log,
            String mesh,
            FoldFormat format,
            TimerService timers,
            Consumer<SpreadInput> inputs) {
        mLog = log;
        mChangeStream = StreamId.fromString(mesh + ".changes");
        mSnapshotStream = StreamId.fromString(mesh + ".snapshots");
        mFormat = format;
        mTimers = timers;
        mInputs = inputs;
    }

    /** Reads the change stream; the log waits up to the given time for records. */
    void readChanges(long offset, Duration wait) {
        mLog.read(mChangeStream, offset, LogFollower.MAX_READ_BYTES, wait)
                .handle(LogOperations::changesInput)
                .thenAccept(mInputs);
    }

    /** Reads the snapshot stream without waiting for records. */
    void readSnapshots(long offset, int maxBytes) {
        mLog.read(mSnapshotStream, offset, maxBytes, Duration.ZERO)
                .handle((batch, failure) -> snapshotsInput(offset, batch, failure))
                .thenAccept(mInputs);
    }

    /**
     * Reads the last record of the snapshot stream, which is a manifest unless a snapshot is
     * incomplete.
     */
    void findNewestSnapshot() {
        mLog.read(mSnapshotStream, 0, 1, Duration.ZERO)
                .handle((batch, failure) -> batch != null ? batch : probeRetained(failure))
                .thenCompose(this::lastRecord)
                .handle(LogOperations::newestSnapshotInput)
                .thenAccept(mInputs);
    }

    /** Appends a snapshot: its chunks in order, then the manifest. */
    void saveSnapshot(FoldState state) {
        SnapshotImage image = SnapshotImage.of(state, mFormat);
        Deque<byte[]> records = new ArrayDeque<>();
        image.chunks()
                .forEach(
                        (digest, content) ->
                                records.add(SnapshotRecords.encodeChunk(digest, content)));
        records.add(SnapshotRecords.encodeManifest(image.manifest()));
        appendNext(records, Position.of(state));
    }

    private void appendNext(Deque<byte[]> records, Position position) {
        byte[] record = records.poll();
        if (record == null) {
            EventLog.log(SpreadEvent.SNAPSHOT_SAVED, position);
            mInputs.accept(new SpreadInput.SnapshotSaved(position, true));
            return;
        }
        mLog.append(mSnapshotStream, record)
                .whenComplete(
                        (offset, failure) -> {
                            if (failure == null) {
                                mTimers.after(APPEND_SPACING, () -> appendNext(records, position));
                            } else {
                                EventLog.log(SpreadEvent.SNAPSHOT_SAVE_FAILED, reason(failure));
                                mInputs.accept(new SpreadInput.SnapshotSaved(position, false));
                            }
                        });
    }

    private static LogBatch probeRetained(Throwable failure) {
        if (Completions.unwrap(failure) instanceof OffsetRemovedException removed) {
            return new LogBatch(List.of(), removed.earliest(), -1);
        }
        throw new CompletionException(Completions.unwrap(failure));
    }

    private CompletableFuture<SnapshotSchedule.@Nullable Saved> lastRecord(LogBatch probe) {
        if (probe.end() < 0) {
            return mLog.read(mSnapshotStream, probe.earliest(), 1, Duration.ZERO)
                    .thenCompose(this::lastRecord);
        }
        if (probe.end() == 0) {
            return CompletableFuture.completedFuture(null);
        }
        return mLog.read(mSnapshotStream, probe.end() - 1, 1, Duration.ZERO)
                .thenApply(batch -> batch.records().stream().findFirst().orElse(null))
                .thenApply(LogOperations::savedSnapshot);
    }

    private static SnapshotSchedule.@Nullable Saved savedSnapshot(@Nullable LogRecord record) {
        return record != null
                        && SnapshotRecords.parse(record.data())
                                instanceof SnapshotRecords.Parsed.ManifestRecord manifestRecord
                ? new SnapshotSchedule.Saved(
                        manifestRecord.manifest().position(), record.appendedAtMillis())
                : null;
    }

    private static SpreadInput newestSnapshotInput(
            SnapshotSchedule.@Nullable Saved newest, @Nullable Throwable failure) {
        if (failure == null) {
            return new SpreadInput.NewestSnapshot(newest);
        }
        EventLog.log(SpreadEvent.SNAPSHOT_SAVE_FAILED, reason(failure));
        return new SpreadInput.SnapshotSaved(NO_POSITION, false);
    }

    private static SpreadInput changesInput(@Nullable LogBatch batch, @Nullable Throwable failure) {
        if (batch != null) {
            return new SpreadInput.LogRead(batch);
        }
        return failure != null
                        && Completions.unwrap(failure) instanceof OffsetRemovedException removed
                ? new SpreadInput.LogOffsetRemoved(removed.earliest())
                : new SpreadInput.LogFailed(reason(failure));
    }

    private static SpreadInput snapshotsInput(
            long requestedOffset, @Nullable LogBatch batch, @Nullable Throwable failure) {
        if (batch != null) {
            return new SpreadInput.SnapshotsRead(requestedOffset, batch);
        }
        return failure != null
                        && Completions.unwrap(failure) instanceof OffsetRemovedException removed
                ? new SpreadInput.SnapshotOffsetRemoved(removed.earliest())
                : new SpreadInput.SnapshotsFailed(reason(failure));
    }

    private static String reason(@Nullable Throwable failure) {
        Throwable cause = failure == null ? null : Completions.unwrap(failure);
        return cause instanceof AzurearchException known
                ? known.code().code() + ": " + known.getMessage()
                : String.valueOf(cause);
    }
}
