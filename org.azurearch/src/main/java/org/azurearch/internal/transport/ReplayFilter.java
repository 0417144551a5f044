package org.azurearch.internal.transport;

import java.util.LinkedHashMap;
import java.util.Map;
import org.azurearch.lib.Digest;

/** The highest counter seen of each sender's session, so that replayed requests are refused. */
final class ReplayFilter {
    private final int mCapacity;
    private final Map<Digest, Long> mHighestCounters;

    /**
     * Creates an empty memory.
     *
     * @param capacity the most sessions remembered; the one unused for longest goes first
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
     * Notes an authenticated request.
     *
     * @param session the session
     * @param counter the counter of the request
     * @return whether the counter is higher than all seen before in the session
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
