package org.azurearch.internal.spread;

import java.util.List;
import org.azurearch.lib.NodeId;
import org.azurearch.member.Rendezvous;
import org.azurearch.spread.Position;
import org.jspecify.annotations.Nullable;

/**
 * Decides when this node appends a snapshot to the log. Readers wait by rank and jitter and look
 * whether another one has come first; two that append at once do no harm.
 */
final class SnapshotSchedule {
    /**
     * A snapshot of the log.
     *
     * @param position its position
     * @param appendedAtMillis when the log took it, in milliseconds since the epoch
     */
    record Saved(Position position, long appendedAtMillis) {}

    private static final String KEY = "snapshot/";
    private static final long RANK_MILLIS = 2_000;
    private static final long JITTER_MILLIS = 1_000;
    private static final long LOOK_PERIOD_MILLIS = 60_000;
    private static final long ANSWER_TIMEOUT_MILLIS = 30_000;

    private final CoreContext mContext;
    private long mLastOffset = -1;
    private long mLastAt;
    private long mDueAt;
    private boolean mBusy;

    SnapshotSchedule(CoreContext context, long now) {
        mContext = context;
        mDueAt = now + delay();
        mLastAt = now;
    }

    /** Returns when the next step is due, in milliseconds. */
    long dueAt() {
        return mDueAt;
    }

    /** Looks up the newest snapshot when it is time. */
    void tick(long now) {
        if (now < mDueAt) {
            return;
        }
        mDueAt = now + LOOK_PERIOD_MILLIS + delay();
        mBusy = false;
        if (mContext.reader() && !mContext.empty() && due(now)) {
            mBusy = true;
            mDueAt = now + ANSWER_TIMEOUT_MILLIS;
            mContext.emit(new SpreadEffect.FindNewestSnapshot());
        }
    }

    /** Notes that the state has moved on, so that a snapshot may be due sooner. */
    void moved(long now) {
        if (!mBusy && mContext.reader() && due(now)) {
            mDueAt = Math.min(mDueAt, now + delay());
        }
    }

    /** Takes the newest snapshot of the log; appends one when it is due all the same. */
    void newest(@Nullable Saved newest, long now, long wallMillis) {
        if (!mBusy) {
            return;
        }
        if (newest != null) {
            mLastOffset = newest.position().offset();
            mLastAt = now - Math.max(0, wallMillis - newest.appendedAtMillis());
        }
        if (newest == null || due(now)) {
            mContext.emit(new SpreadEffect.SaveSnapshot(mContext.history().state()));
        } else {
            finish(now);
        }
    }

    /** Takes the result of an append. */
    void saved(Position position, boolean done, long now) {
        if (done) {
            mLastOffset = Math.max(mLastOffset, position.offset());
            mLastAt = now;
        }
        finish(now);
    }

    private void finish(long now) {
        mBusy = false;
        mDueAt = now + LOOK_PERIOD_MILLIS + delay();
    }

    private boolean due(long now) {
        boolean old = now - mLastAt >= mContext.settings().renewAfter().toMillis();
        boolean unknown = mLastOffset < 0;
        return unknown || old || recordsSince() >= mContext.settings().snapshotEvery();
    }

    private long recordsSince() {
        return mContext.position().offset() - mLastOffset;
    }

    private long delay() {
        List<NodeId> readers = mContext.topology().allReaders();
        int rank = Rendezvous.rank(KEY, readers).indexOf(mContext.topology().self());
        return Math.max(0, rank) * RANK_MILLIS + mContext.random().nextLong(JITTER_MILLIS + 1);
    }
}
