package org.azurearch.internal.transport;

import java.util.LinkedHashMap;
import java.util.Map;
import org.azurearch.lib.Digest;

/** Detects replayed requests by the highest counter of each sender's session. Thread-safe. */
final class ReplayFilter {
    private final int mCapacity;
    private final Map<Digest, Long> mHighestCounters;

    /**
     * Creates an empty filter.
     *
     * @param capacity the maximum number of sessions; the least recently used one is evicted
     */
    ReplayFilter(int capacity) {
        mCapacity = capacity;
        mHighestCounters =
                new LinkedHashMap<>(16, 0.75f, true) {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Digest, Long> eldest) {
                        return size() > mCapacity;
                    }
                };
    }

    /**
     * Records the counter of an authenticated request.
     *
     * @param session the session
     * @param counter the counter of the request
     * @return true if the counter is higher than all earlier ones of the session; false for a
     *     replay, or a request older than one already received
     */
    synchronized boolean tryAdvance(byte[] session, long counter) {
        Digest key = Digest.of(session);
        Long highest = mHighestCounters.get(key);
        if (highest != null && counter <= highest) {
            return false;
        }
        mHighestCounters.put(key, counter);
        return true;
    }
}
