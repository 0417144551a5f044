package org.azurearch.internal.transport;

import java.util.LinkedHashMap;
import java.util.Map;
import org.azurearch.lib.Digest;

/** The highest counter seen of each sender's session, so that replayed requests are refused. */
final class Sessions {
    private final int mCapacity;
    private final Map<Digest, Long> mHighest;

    /**
     * Creates an empty memory.
     *
     * @param capacity the most sessions remembered; the one unused for longest goes first
     */
    Sessions(int capacity) {
        mCapacity = capacity;
        mHighest =
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
    synchronized boolean advance(byte[] session, long counter) {
        Digest key = Digest.of(session);
        Long highest = mHighest.get(key);
        if (highest != null && counter <= highest) {
            return false;
        }
        mHighest.put(key, counter);
        return true;
    }
}
