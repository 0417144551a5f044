package org.azurearch.internal.spread;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.azurearch.errors.AzurearchException;
import org.azurearch.fold.FoldState;
import org.azurearch.lib.Digest;
import org.azurearch.log.LogBatch;
import org.azurearch.log.LogRecord;
import org.azurearch.spread.Position;
import org.jspecify.annotations.Nullable;

/**
 * Searches the snapshot stream for the newest complete and usable snapshot. It reads windows of
 * records backwards from the end of the stream, so that older snapshots are read only if the newer
 * ones are incomplete, corrupt or of a rule set unknown to this release.
 */
final class LogSnapshotScan {
    /** The result of a search. */
    enum Result {
        /** The search is in progress. */
        SEARCHING,
        /** A usable snapshot was found. */
        FOUND,
        /** The stream has no usable snapshot later than the state. */
        NONE,
        /** A read of the log failed. */
        FAILED
    }

    private static final int READ_BYTES = 1 << 20;
    private static final int WINDOW_RECORDS = 64;
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final long NOT_DUE = Long.MAX_VALUE;

    private final CoreContext mContext;
    private final Map<Digest, byte[]> mChunks = new HashMap<>();
    private final List<Manifest> mManifests = new ArrayList<>();
    private final Set<Position> mSkipped = new HashSet<>();
    private Result mResult = Result.NONE;
    private @Nullable FoldState mFound;
    private boolean mProbing;
    private long mEarliest;
    private long mWindowStart;
    private long mWindowEnd;
    private long mRequestedOffset;
    private long mRequestedAt;
    private String mReason = "";

    LogSnapshotScan(CoreContext context) {
        mContext = context;
    }

    /** Returns the current result. */
    Result result() {
        return mResult;
    }

    /** Returns the state of the snapshot found, or null. */
    @Nullable FoldState found() {
        return mFound;
    }

    /** Returns why the search failed or skipped a snapshot; empty if it did neither. */
    String reason() {
        return mReason;
    }

    /** Returns when the read in progress times out, in milliseconds. */
    long dueAt() {
        return mResult == Result.SEARCHING ? mRequestedAt + TIMEOUT_MILLIS : NOT_DUE;
    }

    /** Starts a search. */
    void start(long now) {
        mChunks.clear();
        mManifests.clear();
        mSkipped.clear();
        mFound = null;
        mReason = "";
        mResult = Result.SEARCHING;
        mProbing = true;
        read(0, 1, now);
    }

    /** Fails the search if the read in progress has timed out. */
    void tick(long now) {
        if (now >= dueAt()) {
            onFailure("the read timed out");
        }
    }

    /** Handles the failure of a read. */
    void onFailure(String reason) {
        if (mResult == Result.SEARCHING) {
            mResult = Result.FAILED;
            mReason = reason;
        }
    }

    /** Handles a read that failed because retention has removed the requested offset. */
    void onOffsetRemoved(long earliest, long now) {
        if (mResult != Result.SEARCHING) {
            return;
        }
        mChunks.clear();
        mManifests.clear();
        mProbing = true;
        read(earliest, 1, now);
    }

    /** Handles the reply to a read. */
    void onBatch(long requestedOffset, LogBatch batch, long now) {
        if (mResult != Result.SEARCHING || requestedOffset != mRequestedOffset) {
            return;
        }
        if (mProbing) {
            mProbing = false;
            mEarliest = batch.earliest();
            mWindowEnd = batch.end();
            readNextWindow(now);
            return;
        }
        batch.records().forEach(this::collect);
        long next = requestedOffset + batch.records().size();
        if (next < mWindowEnd && !batch.records().isEmpty()) {
            read(next, READ_BYTES, now);
        } else {
            selectSnapshot(now);
        }
    }

    private void readNextWindow(long now) {
        mWindowStart = Math.max(mEarliest, mWindowEnd - WINDOW_RECORDS);
        if (mWindowStart >= mWindowEnd) {
            mResult = Result.NONE;
        } else {
            read(mWindowStart, READ_BYTES, now);
        }
    }

    private void collect(LogRecord record) {
        SnapshotRecords.Parsed parsed = SnapshotRecords.parse(record.data());
        if (parsed instanceof SnapshotRecords.Parsed.ChunkRecord chunkRecord) {
            mChunks.put(chunkRecord.digest(), chunkRecord.content());
        } else if (parsed instanceof SnapshotRecords.Parsed.ManifestRecord manifestRecord) {
            mManifests.add(manifestRecord.manifest());
        }
    }

    private void selectSnapshot(long now) {
        mManifests.sort(
                Comparator.comparingLong((Manifest manifest) -> manifest.position().offset())
                        .reversed());
        for (Manifest manifest : mManifests) {
            if (manifest.position().after(mContext.position()) && tryAssemble(manifest)) {
                mResult = Result.FOUND;
                return;
            }
        }
        mWindowEnd = mWindowStart;
        readNextWindow(now);
    }

    private boolean tryAssemble(Manifest manifest) {
        if (!mChunks.keySet().containsAll(manifest.chunks())) {
            mReason = "the snapshot at " + manifest.position() + " lacks chunks";
            return false;
        }
        try {
            mFound = SnapshotImage.assemble(manifest, mChunks, mContext.format());
            return true;
        } catch (AzurearchException e) {
            mReason = String.valueOf(e.getMessage());
            if (mSkipped.add(manifest.position())) {
                mContext.report(SpreadEvent.SNAPSHOT_SKIPPED, manifest.position(), mReason);
            }
            return false;
        }
    }

    private void read(long offset, int maxBytes, long now) {
        mRequestedOffset = offset;
        mRequestedAt = now;
        mContext.emit(new SpreadEffect.ReadSnapshots(offset, maxBytes));
    }
}
