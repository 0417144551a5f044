package org.azurearch.internal.fold;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * A thread-safe cache that evicts the least recently used value. Concurrent calls may compute the
 * same value twice.
 *
 * @param <K> the key
 * @param <V> the value
 */
final class LruCache<K, V> {
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<K, V> mValues;

    /**
     * Creates a cache.
     *
     * @param capacity the maximum number of values
     */
    LruCache(int capacity) {
        mValues =
                new LinkedHashMap<>(capacity, LOAD_FACTOR, true) {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                        return size() > capacity;
                    }
                };
    }

    /** Returns the value of a key; computes and caches it if absent. */
    V get(K key, Supplier<V> compute) {
        synchronized (mValues) {
            V cached = mValues.get(key);
            if (cached != null) {
                return cached;
            }
        }
        V computed = compute.get();
        synchronized (mValues) {
            mValues.put(key, computed);
        }
        return computed;
    }
}
