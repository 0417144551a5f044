package org.azurearch.internal.spread;

import java.util.List;
import org.azurearch.lib.NodeId;
import org.azurearch.member.Rendezvous;
import org.azurearch.spread.Position;
import org.jspecify.annotations.Nullable;

/**
 * Decides when this node appends a snapshot to the log. Readers wait according to rank plus jitter,
 * and check first whether another reader has appended one. Concurrent appends by two readers are
 * harmless.
 */
final class SnapshotSchedule {
    /**
     * A snapshot in the log.
     *
     * @param position the position of the snapshot
     * @param appendedAtMillis when it was appended, in milliseconds since the epoch
     */
    record Saved(Position position, long appendedAtMillis) {}

    private static final String RANK_KEY = "snapshot/";
    private static final long RANK_DELAY_MILLIS = 2_000;
    private static final long MAX_JITTER_MILLIS = 1_000;
    private static final long CHECK_PERIOD_MILLIS = 60_000;
    private static final long SAVE_TIMEOUT_MILLIS = 30_000;

    private final CoreContext mContext;
    private long mNewestOffset = -1;
    private long mNewestAt;
    private long mDueAt;
    private boolean mInProgress;

    SnapshotSchedule(CoreContext context, long now) {
        mContext = context;
        mDueAt = now + delay();
        mNewestAt = now;
    }

    /** Returns when the next step is due, in milliseconds. */
    long dueAt() {
        return mDueAt;
    }

    /** Starts the lookup of the newest snapshot if one is due. */
    void tick(long now) {
        if (now < mDueAt) {
            return;
        }
        mDueAt = now + CHECK_PERIOD_MILLIS + delay();
        mInProgress = false;
        if (mContext.reader() && !mContext.empty() && due(now)) {
            mInProgress = true;
            mDueAt = now + SAVE_TIMEOUT_MILLIS;
            mContext.emit(new SpreadEffect.FindNewestSnapshot());
        }
    }

    /** Brings the next step forward if the state has advanced so far that a snapshot is due. */
    void onAdvanced(long now) {
        if (!mInProgress && mContext.reader() && due(now)) {
            mDueAt = Math.min(mDueAt, now + delay());
        }
    }

    /** Handles the result of the lookup; appends a snapshot if one is still due. */
    void onNewestFound(@Nullable Saved newest, long now, long wallMillis) {
        if (!mInProgress) {
            return;
        }
        if (newest != null) {
            mNewestOffset = newest.position().offset();
            mNewestAt = now - Math.max(0, wallMillis - newest.appendedAtMillis());
        }
        if (newest == null || due(now)) {
            mContext.emit(new SpreadEffect.SaveSnapshot(mContext.history().state()));
        } else {
            finish(now);
        }
    }

    /** Handles the result of an append. */
    void onSaved(Position position, boolean succeeded, long now) {
        if (succeeded) {
            mNewestOffset = Math.max(mNewestOffset, position.offset());
            mNewestAt = now;
        }
        finish(now);
    }

    private void finish(long now) {
        mInProgress = false;
        mDueAt = now + CHECK_PERIOD_MILLIS + delay();
    }

    private boolean due(long now) {
        boolean expired = now - mNewestAt >= mContext.settings().renewAfter().toMillis();
        boolean noneKnown = mNewestOffset < 0;
        return noneKnown || expired || recordsSinceNewest() >= mContext.settings().snapshotEvery();
    }

    private long recordsSinceNewest() {
        return mContext.position().offset() - mNewestOffset;
    }

    private long delay() {
        List<NodeId> readers = mContext.topology().allReaders();
        int rank = Rendezvous.rank(RANK_KEY, readers).indexOf(mContext.topology().self());
        return Math.max(0, rank) * RANK_DELAY_MILLIS
                + mContext.random().nextLong(MAX_JITTER_MILLIS + 1);
    }
}
