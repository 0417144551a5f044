package org.azurearch.standin.backend;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts how often requests ran, by key. Several backend servers may share one, so that double runs
 * on different servers are seen. Thread-safe.
 */
public final class RunCounter {
    private final Map<String, Integer> mRunsByKey = new ConcurrentHashMap<>();
    private final LongAdder mRuns = new LongAdder();

    /**
     * Counts a run.
     *
     * @param key the request's key; empty for a request without one
     * @return how often the key has run, this run included; 1 without a key
     */
    public int count(String key) {
        mRuns.increment();
        return key.isEmpty() ? 1 : mRunsByKey.merge(key, 1, Integer::sum);
    }

    /** Returns how often a key has run. */
    public int runs(String key) {
        return mRunsByKey.getOrDefault(key, 0);
    }

    /** Returns all runs, with a key or without. */
    public long runs() {
        return mRuns.sum();
    }

    /** Returns how many keys have run more than once. */
    public long doubleRuns() {
        return mRunsByKey.values().stream().filter(runs -> runs > 1).count();
    }
}
