package org.azurearch.standin.backend;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts how often requests ran, by key. Several backend servers may share a counter, so that
 * repeated runs on different servers are counted. Thread-safe.
 */
public final class RunCounter {
    private final Map<String, Integer> mRunsByOrder = new ConcurrentHashMap<>();
    private final Map<String, Integer> mRunsByAttempt = new ConcurrentHashMap<>();
    private final LongAdder mRuns = new LongAdder();

    /**
     * Counts a run.
     *
     * @param orderKey the key shared by all attempts of a request; empty for none
     * @param attemptKey the key of this attempt; empty for none
     * @return how often the order key has run, this run included; 1 without an order key
     */
    public int count(String orderKey, String attemptKey) {
        mRuns.increment();
        if (!attemptKey.isEmpty()) {
            mRunsByAttempt.merge(attemptKey, 1, Integer::sum);
        }
        return orderKey.isEmpty() ? 1 : mRunsByOrder.merge(orderKey, 1, Integer::sum);
    }

    /** Returns how often an order key has run. */
    public int runsOfOrder(String key) {
        return mRunsByOrder.getOrDefault(key, 0);
    }

    /** Returns how often an attempt key has run. */
    public int runsOfAttempt(String key) {
        return mRunsByAttempt.getOrDefault(key, 0);
    }

    /** Returns the number of runs, with or without a key. */
    public long runs() {
        return mRuns.sum();
    }

    /** Returns how many order keys have run more than once. */
    public long doubleRuns() {
        return mRunsByOrder.values().stream().filter(runs -> runs > 1).count();
    }
}
