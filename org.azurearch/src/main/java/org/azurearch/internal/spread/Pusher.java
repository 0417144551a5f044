package org.azurearch.internal.spread;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.azurearch.lib.NodeId;
import org.azurearch.spread.Position;
import org.azurearch.spread.StateSource;
import org.jspecify.annotations.Nullable;

/**
 * Decides on pushes down the tree. A reader pushes the records that it has folded after the batch
 * window. Readers of a lower rank wait longer, and push nothing if the push of another reader
 * arrives first.
 */
final class Pusher {
    static final int MAX_PUSH_BYTES = 1 << 20;
    private static final long RANK_DELAY_MILLIS = 150;
    private static final long NOT_DUE = Long.MAX_VALUE;

    private final CoreContext mContext;
    private @Nullable Position mBase;
    private long mDueAt = NOT_DUE;

    Pusher(CoreContext context) {
        mContext = context;
    }

    /** Returns when the next push is due, in milliseconds. */
    long dueAt() {
        return mDueAt;
    }

    /** Schedules a push if this node is a reader and its state has advanced from a position. */
    void onAdvanced(Position before, StateSource source, long now) {
        if (source == StateSource.PUSH) {
            cancel();
        }
        int rank = mContext.topology().rank();
        boolean pushes = !mContext.settings().policy().everyNodeReads() && rank >= 0;
        if (source == StateSource.PUSH || !pushes || mBase != null) {
            return;
        }
        mBase = before;
        mDueAt =
                now
                        + mContext.settings().policy().batchWindow().toMillis()
                        + rank * RANK_DELAY_MILLIS;
    }

    /** Cancels the scheduled push if another reader has pushed as far as this node's position. */
    void onPushedByOther(Position target) {
        if (!mContext.position().after(target)) {
            cancel();
        }
    }

    /** Pushes if a push is due. */
    void tick(long now) {
        Position base = mBase;
        if (base == null || now < mDueAt) {
            return;
        }
        cancel();
        Optional<Delta> delta =
                mContext.history().deltaFrom(base, MAX_PUSH_BYTES, mContext.format());
        if (delta.isEmpty()) {
            return;
        }
        send(delta.get(), receivers());
        if (mContext.position().after(delta.get().target())) {
            mBase = delta.get().target();
            mDueAt = now;
        }
    }

    /** Sends a delta to receivers as a tree. */
    void send(Delta delta, List<NodeId> receivers) {
        int fanOut = mContext.settings().policy().fanOut();
        for (PushTree.Branch branch : PushTree.split(receivers, fanOut)) {
            mContext.emit(new SpreadEffect.Push(branch.head(), delta, branch.subtree()));
        }
    }

    private void cancel() {
        mBase = null;
        mDueAt = NOT_DUE;
    }

    private List<NodeId> receivers() {
        List<NodeId> receivers = new ArrayList<>(mContext.topology().homeReaders());
        List<NodeId> others = new ArrayList<>(mContext.topology().neighbours());
        others.removeAll(receivers);
        Collections.shuffle(others, new Random(mContext.random().nextLong()));
        receivers.addAll(others);
        return receivers;
    }
}
