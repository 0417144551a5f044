package org.azurearch.metrics;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import org.azurearch.time.TimeSource;
import org.jspecify.annotations.Nullable;

/**
 * Provides reports of a registry to any number of clients. A report is cached for an interval,
 * because collecting one resets the histograms for all clients. Thread-safe.
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
     * @param interval how long a report is cached
     */
    public MetricsReporter(MetricRegistry registry, TimeSource time, Duration interval) {
        mRegistry = registry;
        mTime = time;
        mIntervalNanos = interval.toNanos();
    }

    /** Returns a report no older than the interval. */
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
