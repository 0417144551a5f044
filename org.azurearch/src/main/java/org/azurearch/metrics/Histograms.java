package org.azurearch.metrics;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramResetOnSnapshotReservoir;

/** Creates histograms with HdrHistogram reservoirs. */
public final class Histograms {
    private Histograms() {}

    /**
     * Returns the histogram with a name, creating it if there is none.
     *
     * @param metrics the registry
     * @param name the name of the metric
     */
    public static Histogram of(MetricRegistry metrics, String name) {
        return metrics.histogram(
                name, () -> new Histogram(new HdrHistogramResetOnSnapshotReservoir()));
    }

    /**
     * Returns the histogram of call durations of a firm and class, in microseconds.
     *
     * @param metrics the registry
     * @param firm the name of the firm
     * @param callClass the name of the class
     */
    public static Histogram callDurations(MetricRegistry metrics, String firm, String callClass) {
        return of(metrics, "calls.duration.micros." + firm + "." + callClass);
    }
}
