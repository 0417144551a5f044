package org.azurearch.sidecar.internal.hop;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import org.azurearch.thrift.HopFrame;
import org.jspecify.annotations.Nullable;

/**
 * Outcomes of calls that were sent and not acknowledged, so that they can be sent once more over
 * another connection. Beyond a limit of bytes the oldest are dropped. Confined to one thread.
 */
final class HeldOutcomes {
    /** Memory of an outcome besides the body of an answer, in bytes. */
    private static final int OVERHEAD_BYTES = 512;

    private record Key(long session, long call) {}

    private record Outcome(HopFrame frame, long bytes, long deadlineNanos) {}

    private final long mMaxBytes;
    private final Map<Key, Outcome> mOutcomes = new LinkedHashMap<>();
    private long mBytes;

    /**
     * Creates an empty store.
     *
     * @param maxBytes the most bytes to hold
     */
    HeldOutcomes(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /**
     * Adds an outcome unless it is larger than the limit.
     *
     * @param deadlineNanos when its caller stops waiting, on the steady clock
     */
    void add(long session, long call, HopFrame frame, long deadlineNanos) {
        long body = frame.isSetAnswer() ? frame.getAnswer().getBody().length : 0;
        long bytes = body + OVERHEAD_BYTES;
        if (bytes > mMaxBytes) {
            return;
        }
        remove(session, call);
        mOutcomes.put(new Key(session, call), new Outcome(frame, bytes, deadlineNanos));
        mBytes += bytes;
        Iterator<Outcome> oldest = mOutcomes.values().iterator();
        while (mBytes > mMaxBytes) {
            mBytes -= oldest.next().bytes();
            oldest.remove();
        }
    }

    /** Returns the outcome of a call, or null if it is not held. */
    @Nullable HopFrame get(long session, long call) {
        Outcome outcome = mOutcomes.get(new Key(session, call));
        return outcome == null ? null : outcome.frame();
    }

    /** Drops the outcome of a call, as it has arrived. */
    void remove(long session, long call) {
        Outcome outcome = mOutcomes.remove(new Key(session, call));
        if (outcome != null) {
            mBytes -= outcome.bytes();
        }
    }

    /** Drops the outcomes of a session that are not awaited. */
    void retain(long session, Set<Long> awaited) {
        removeIf((key, outcome) -> key.session() == session && !awaited.contains(key.call()));
    }

    /** Drops the outcomes that no caller waits for any more. */
    void expire(long nowNanos) {
        removeIf((key, outcome) -> outcome.deadlineNanos() - nowNanos < 0);
    }

    /** Returns whether an outcome of a session is held. */
    boolean holds(long session) {
        return mOutcomes.keySet().stream().anyMatch(key -> key.session() == session);
    }

    /** Returns the bytes held. */
    long bytes() {
        return mBytes;
    }

    private void removeIf(BiPredicate<Key, Outcome> selected) {
        Iterator<Map.Entry<Key, Outcome>> entries = mOutcomes.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<Key, Outcome> entry = entries.next();
            if (selected.test(entry.getKey(), entry.getValue())) {
                mBytes -= entry.getValue().bytes();
                entries.remove();
            }
        }
    }
}
