package org.azurearch.standin.load;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts and latencies of a run by target and kind of request. Thread-safe. */
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
        Tally cell =
                mTallies.computeIfAbsent(
                        target.name() + "/" + kind.name(),
                        key -> new Tally(target.name(), kind.name()));
        cell.mCounts.merge(outcome, 1L, Long::sum);
        if (outcome == LoadOutcome.OK) {
            long micros = Math.max(0, latencyNanos / NANOS_PER_MICRO);
            cell.mLatencyMicros.recordValue(Math.min(MAX_MICROS, micros));
        }
    }

    synchronized void countErrorCode(String code) {
        mErrorCodes.merge(code, 1L, Long::sum);
    }

    /** Returns how many error answers carried each code, over all targets. */
    public synchronized Map<String, Long> errorCodes() {
        return new TreeMap<>(mErrorCodes);
    }

    /** Returns the latencies of whole answers of a target, in microseconds from the due time. */
    public synchronized Histogram latencyMicros(String target) {
        Histogram sum = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
        tallies(target, "").forEach(cell -> sum.add(cell.mLatencyMicros));
        return sum;
    }

    /** Returns the latencies of whole answers of a target and kind, in microseconds. */
    public synchronized Histogram latencyMicros(String target, String kind) {
        Histogram sum = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
        tallies(target, kind).forEach(cell -> sum.add(cell.mLatencyMicros));
        return sum;
    }

    /** Returns how many sendings to a target ended so; an empty kind stands for all. */
    public synchronized long count(String target, String kind, LoadOutcome outcome) {
        return tallies(target, kind).stream()
                .mapToLong(cell -> cell.mCounts.getOrDefault(outcome, 0L))
                .sum();
    }

    /** Returns how many sendings to a target ended; an empty kind stands for all. */
    public synchronized long total(String target, String kind) {
        return tallies(target, kind).stream()
                .flatMap(cell -> cell.mCounts.values().stream())
                .mapToLong(Long::longValue)
                .sum();
    }

    private List<Tally> tallies(String target, String kind) {
        List<Tally> found = new ArrayList<>();
        for (Tally cell : mTallies.values()) {
            if (cell.mTarget.equals(target) && (kind.isEmpty() || cell.mKind.equals(kind))) {
                found.add(cell);
            }
        }
        return found;
    }
}
