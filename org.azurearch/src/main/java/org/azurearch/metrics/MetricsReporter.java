package org.azurearch.metrics;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import org.azurearch.time.TimeSource;
import org.jspecify.annotations.Nullable;

/**
 * Serves reports of a registry to any number of readers. A report is kept for an interval, so that
 * one reader does not take the histograms' values away from another.
 */
public final class MetricsReporter {
    private final MetricRegistry mRegistry;
    private final TimeSource mTime;
    private final long mIntervalNanos;
    private @Nullable MetricsReport mLast;
    private long mTakenAtNanos;

    /**
     * Creates a reporter.
     *
     * @param registry the registry
     * @param time the time source
     * @param interval how long a report is kept
     */
    public MetricsReporter(MetricRegistry registry, TimeSource time, Duration interval) {
        mRegistry = registry;
        mTime = time;
        mIntervalNanos = interval.toNanos();
    }

    /** Returns a report that is not older than the interval. */
    public synchronized MetricsReport report() {
        long now = mTime.nanos();
        MetricsReport last = mLast;
        if (last == null || now - mTakenAtNanos >= mIntervalNanos) {
            last = MetricsReport.collect(mRegistry, mTime.wallMillis());
            mLast = last;
            mTakenAtNanos = now;
        }
        return last;
    }
}
