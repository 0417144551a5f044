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
    private static final int DIGITS = 3;
    private static final long NANOS_PER_MICRO = 1_000L;

    private final Map<String, Cell> mCells = new TreeMap<>();
    private final Map<String, Long> mCodes = new TreeMap<>();

    private static final class Cell {
        private final String mTarget;
        private final String mKind;
        private final Histogram mMicros = new Histogram(MAX_MICROS, DIGITS);
        private final Map<LoadOutcome, Long> mCounts = new EnumMap<>(LoadOutcome.class);

        Cell(String target, String kind) {
            mTarget = target;
            mKind = kind;
        }
    }

    synchronized void add(
            LoadTarget target, RequestKind kind, LoadOutcome outcome, long latencyNanos) {
        Cell cell =
                mCells.computeIfAbsent(
                        target.name() + "/" + kind.name(),
                        key -> new Cell(target.name(), kind.name()));
        cell.mCounts.merge(outcome, 1L, Long::sum);
        if (outcome == LoadOutcome.OK) {
            long micros = Math.max(0, latencyNanos / NANOS_PER_MICRO);
            cell.mMicros.recordValue(Math.min(MAX_MICROS, micros));
        }
    }

    synchronized void addCode(String code) {
        mCodes.merge(code, 1L, Long::sum);
    }

    /** Returns how many error answers carried each code, over all targets. */
    public synchronized Map<String, Long> codes() {
        return new TreeMap<>(mCodes);
    }

    /** Returns the latencies of whole answers of a target, in microseconds from the due time. */
    public synchronized Histogram micros(String target) {
        Histogram sum = new Histogram(MAX_MICROS, DIGITS);
        cells(target, "").forEach(cell -> sum.add(cell.mMicros));
        return sum;
    }

    /** Returns the latencies of whole answers of a target and kind, in microseconds. */
    public synchronized Histogram micros(String target, String kind) {
        Histogram sum = new Histogram(MAX_MICROS, DIGITS);
        cells(target, kind).forEach(cell -> sum.add(cell.mMicros));
        return sum;
    }

    /** Returns how many sendings to a target ended so; an empty kind stands for all. */
    public synchronized long count(String target, String kind, LoadOutcome outcome) {
        return cells(target, kind).stream()
                .mapToLong(cell -> cell.mCounts.getOrDefault(outcome, 0L))
                .sum();
    }

    /** Returns how many sendings to a target ended; an empty kind stands for all. */
    public synchronized long total(String target, String kind) {
        return cells(target, kind).stream()
                .flatMap(cell -> cell.mCounts.values().stream())
                .mapToLong(Long::longValue)
                .sum();
    }

    private List<Cell> cells(String target, String kind) {
        List<Cell> found = new ArrayList<>();
        for (Cell cell : mCells.values()) {
            if (cell.mTarget.equals(target) && (kind.isEmpty() || cell.mKind.equals(kind))) {
                found.add(cell);
            }
        }
        return found;
    }
}
