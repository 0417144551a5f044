package org.azurearch.standin.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Compares the figures of two records by name. */
public final class RecordComparison {
    private static final double PERCENT = 100.0;

    private final List<Pair> mPairs = new ArrayList<>();

    /**
     * Compares two records. Figures that only one of them has are left out.
     *
     * @param before the first record
     * @param after the second record
     */
    public RecordComparison(ExperimentRecord before, ExperimentRecord after) {
        for (Figure figure : before.figures()) {
            after.figure(figure.name())
                    .ifPresent(
                            other ->
                                    mPairs.add(
                                            new Pair(
                                                    figure.name(),
                                                    figure.value(),
                                                    other.value(),
                                                    figure.unit())));
        }
    }

    /**
     * A figure that both records have.
     *
     * @param name the name of the figure
     * @param before the value in the first record
     * @param after the value in the second record
     * @param unit the unit
     */
    public record Pair(String name, double before, double after, String unit) {
        /** Returns the change in percent of the first value; 0 if the first value is 0. */
        public double changePercent() {
            return before == 0 ? 0 : (after - before) / before * PERCENT;
        }
    }

    /** Returns the pairs in the order of the first record. */
    public List<Pair> pairs() {
        return List.copyOf(mPairs);
    }

    /** Returns the pairs as table rows, one per line. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (Pair pair : mPairs) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "%-48s %14.4f %14.4f %+8.1f%% %s%n",
                            pair.name(),
                            pair.before(),
                            pair.after(),
                            pair.changePercent(),
                            pair.unit()));
        }
        return text.toString();
    }
}
