package org.azurearch.standin.bench;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;

/** Collects the figures and series of a run. Not thread-safe. */
public final class ExperimentResults {
    private static final int TICKS_PER_HALF_DISTANCE = 5;
    private static final double MAX_PLOTTED_NINES = 6.0;
    private static final double PERCENT = 100.0;
    private static final double MEDIAN = 50.0;
    private static final double P99 = 99.0;
    private static final double P999 = 99.9;

    private final List<Figure> mFigures = new ArrayList<>();
    private final List<Series> mSeries = new ArrayList<>();

    /** Adds a figure. */
    public void addFigure(String name, double value, String unit) {
        mFigures.add(new Figure(name, value, unit));
    }

    /** Adds a series. */
    public void addSeries(Series series) {
        mSeries.add(series);
    }

    /**
     * Adds count, percentiles and maximum of a histogram as figures, and its percentiles as a
     * series.
     *
     * @param chart the chart that the series belongs to
     * @param name the prefix of the figures and the name of the series
     * @param histogram the recorded values
     * @param scale divisor that converts a recorded value to {@code unit}
     * @param unit the unit of the figures and of the y axis
     */
    public void addPercentiles(
            String chart, String name, Histogram histogram, double scale, String unit) {
        addFigure(name + ".count", histogram.getTotalCount(), "");
        addFigure(name + ".p50", histogram.getValueAtPercentile(MEDIAN) / scale, unit);
        addFigure(name + ".p99", histogram.getValueAtPercentile(P99) / scale, unit);
        addFigure(name + ".p99.9", histogram.getValueAtPercentile(P999) / scale, unit);
        addFigure(name + ".max", histogram.getMaxValue() / scale, unit);
        List<Series.Point> points = new ArrayList<>();
        for (HistogramIterationValue value : histogram.percentiles(TICKS_PER_HALF_DISTANCE)) {
            double nines = -Math.log10(1 - value.getPercentileLevelIteratedTo() / PERCENT);
            if (nines <= MAX_PLOTTED_NINES) {
                points.add(new Series.Point(nines, value.getValueIteratedTo() / scale));
            }
        }
        addSeries(new Series(chart, name, "nines of the percentile", unit, points));
    }

    /** Returns a copy of the figures added so far. */
    public List<Figure> figures() {
        return List.copyOf(mFigures);
    }

    /** Returns a copy of the series added so far. */
    public List<Series> series() {
        return List.copyOf(mSeries);
    }
}
