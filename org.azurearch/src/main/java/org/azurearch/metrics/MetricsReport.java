package org.azurearch.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The values of all metrics at one point in time.
 *
 * @param takenAtMillis the time, in milliseconds since the epoch
 * @param gauges the numeric gauges by name
 * @param counters the counters and the counts of meters by name
 * @param histograms the histograms by name
 */
public record MetricsReport(
        long takenAtMillis,
        SortedMap<String, Double> gauges,
        SortedMap<String, Long> counters,
        SortedMap<String, HistogramReport> histograms) {
    private static final double P99 = 0.99;
    private static final double P999 = 0.999;

    /** Makes the maps unmodifiable. */
    public MetricsReport {
        gauges = Collections.unmodifiableSortedMap(gauges);
        counters = Collections.unmodifiableSortedMap(counters);
        histograms = Collections.unmodifiableSortedMap(histograms);
    }

    /**
     * Collects the values of a registry. This resets the intervals of the histograms: their
     * percentiles and maximum cover the time since the previous report.
     *
     * @param registry the registry
     * @param nowMillis the current time, in milliseconds since the epoch
     */
    public static MetricsReport collect(MetricRegistry registry, long nowMillis) {
        SortedMap<String, Double> gauges = new TreeMap<>();
        registry.getGauges().forEach((name, gauge) -> putNumber(gauges, name, gauge));
        SortedMap<String, Long> counters = new TreeMap<>();
        registry.getCounters().forEach((name, value) -> counters.put(name, count(value)));
        registry.getMeters().forEach((name, value) -> counters.put(name, count(value)));
        SortedMap<String, HistogramReport> histograms = new TreeMap<>();
        registry.getHistograms()
                .forEach((name, value) -> histograms.put(name, HistogramReport.of(value)));
        return new MetricsReport(nowMillis, gauges, counters, histograms);
    }

    private static void putNumber(SortedMap<String, Double> gauges, String name, Gauge<?> gauge) {
        if (gauge.getValue() instanceof Number number) {
            gauges.put(name, number.doubleValue());
        }
    }

    private static long count(Counter counter) {
        return counter.getCount();
    }

    private static long count(Meter meter) {
        return meter.getCount();
    }

    /**
     * The values of a histogram.
     *
     * @param count the number of values recorded since the start
     * @param p50 the median of the last interval
     * @param p95 the 95th percentile of the last interval
     * @param p99 the 99th percentile of the last interval
     * @param p999 the 99.9th percentile of the last interval
     * @param max the largest value of the last interval
     */
    public record HistogramReport(
            long count, double p50, double p95, double p99, double p999, long max) {
        /** Returns the values of a histogram and resets its interval. */
        public static HistogramReport of(Histogram histogram) {
            Snapshot snapshot = histogram.getSnapshot();
            return new HistogramReport(
                    histogram.getCount(),
                    snapshot.getMedian(),
                    snapshot.get95thPercentile(),
                    snapshot.getValue(P99),
                    snapshot.getValue(P999),
                    snapshot.getMax());
        }
    }
}
