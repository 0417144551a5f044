package org.azurearch.standin.load;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts and latencies of a run by target and request kind. Thread-safe. */
public final class LoadReport {
    private static final long MAX_MICROS = 120_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long NANOS_PER_MICRO = 1_000L;

    private final Map<String, Tally> mTallies = new TreeMap<>();
    private final Map<String, Long> mErrorCodes = new TreeMap<>();

    private static final class Tally {
        private final String mTarget;
        private final String mKind;
        private final Histogram mLatencyMicros = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
        private final Map<LoadOutcome, Long> mCounts = new EnumMap<>(LoadOutcome.class);

        Tally(String target, String kind) {
            mTarget = target;
            mKind = kind;
        }
    }

    synchronized void add(
            LoadTarget target, RequestKind kind, LoadOutcome outcome, long latencyNanos) {
        Tally tally =
                mTallies.computeIfAbsent(
                        target.name() + "/" + kind.name(),
                        key -> new Tally(target.name(), kind.name()));
        tally.mCounts.merge(outcome, 1L, Long::sum);
        if (outcome == LoadOutcome.OK) {
            long micros = Math.max(0, latencyNanos / NANOS_PER_MICRO);
            tally.mLatencyMicros.recordValue(Math.min(MAX_MICROS, micros));
        }
    }

    synchronized void countErrorCode(String code) {
        mErrorCodes.merge(code, 1L, Long::sum);
    }

    /** Returns the number of error answers by error code, over all targets. */
    public synchronized Map<String, Long> errorCodes() {
        return new TreeMap<>(mErrorCodes);
    }

    /**
     * Returns the latencies of a target's OK attempts, in microseconds since the request was due.
     */
    public synchronized Histogram latencyMicros(String target) {
        Histogram sum = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
        tallies(target, "").forEach(tally -> sum.add(tally.mLatencyMicros));
        return sum;
    }

    /**
     * Returns the latencies of a target's OK attempts of one kind, in microseconds since the
     * request was due.
     */
    public synchronized Histogram latencyMicros(String target, String kind) {
        Histogram sum = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
        tallies(target, kind).forEach(tally -> sum.add(tally.mLatencyMicros));
        return sum;
    }

    /**
     * Returns the number of attempts to a target with an outcome; an empty kind means all kinds.
     */
    public synchronized long count(String target, String kind, LoadOutcome outcome) {
        return tallies(target, kind).stream()
                .mapToLong(tally -> tally.mCounts.getOrDefault(outcome, 0L))
                .sum();
    }

    /** Returns the number of ended attempts to a target; an empty kind means all kinds. */
    public synchronized long total(String target, String kind) {
        return tallies(target, kind).stream()
                .flatMap(tally -> tally.mCounts.values().stream())
                .mapToLong(Long::longValue)
                .sum();
    }

    private List<Tally> tallies(String target, String kind) {
        List<Tally> found = new ArrayList<>();
        for (Tally tally : mTallies.values()) {
            if (tally.mTarget.equals(target) && (kind.isEmpty() || tally.mKind.equals(kind))) {
                found.add(tally);
            }
        }
        return found;
    }
}
