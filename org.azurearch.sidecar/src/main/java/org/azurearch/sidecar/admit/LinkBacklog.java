package org.azurearch.sidecar.admit;

import java.util.Map;
import java.util.TreeMap;

/**
 * What was handed to a link and is not sent yet, by rank. What is less urgent than a rank does not
 * delay it here. Confined to one thread.
 */
final class LinkBacklog {
    private static final double NANOS_PER_MILLI = 1e6;

    private final TreeMap<Integer, Long> mSentUntilNanos = new TreeMap<>();

    /** Adds what the link takes a time to send. */
    void add(int rank, double millis, long nowNanos) {
        mSentUntilNanos.putIfAbsent(rank, nowNanos + nanos(millis(rank, nowNanos)));
        long added = nanos(millis);
        mSentUntilNanos
                .tailMap(rank, true)
                .replaceAll((each, until) -> Math.max(0, until - nowNanos) + nowNanos + added);
    }

    /**
     * Returns how long the link takes for what is at least as urgent as a rank, in milliseconds.
     */
    double millis(int rank, long nowNanos) {
        return millis(mSentUntilNanos.floorEntry(rank), nowNanos);
    }

    /** Returns how long the link takes for all, in milliseconds. */
    double totalMillis(long nowNanos) {
        return millis(mSentUntilNanos.lastEntry(), nowNanos);
    }

    private static double millis(Map.Entry<Integer, Long> until, long nowNanos) {
        return until == null ? 0 : Math.max(0, until.getValue() - nowNanos) / NANOS_PER_MILLI;
    }

    private static long nanos(double millis) {
        return (long) (millis * NANOS_PER_MILLI);
    }
}
