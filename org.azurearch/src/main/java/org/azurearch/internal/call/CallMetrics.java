package org.azurearch.internal.call;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.ClassId;
import org.azurearch.lib.FirmId;
import org.azurearch.metrics.Histograms;
import org.azurearch.route.Route;
import org.jspecify.annotations.Nullable;

/** Metrics of the calls that this node receives from callers. Thread-safe. */
final class CallMetrics {
    private static final long NANOS_PER_MICRO = 1_000L;

    private final MetricRegistry mMetrics;
    private final Counter mAnswered;
    private final Map<FirmId, Map<ClassId, Histogram>> mDurations = new ConcurrentHashMap<>();

    CallMetrics(MetricRegistry metrics) {
        mMetrics = metrics;
        mAnswered = metrics.counter("calls.answered");
    }

    /**
     * Records a finished call.
     *
     * @param route the route, or null when none matched
     * @param code the error code, or null if the call was answered
     * @param nanos the duration of the call
     */
    void record(@Nullable Route route, @Nullable ErrorCode code, long nanos) {
        if (code == null) {
            mAnswered.inc();
        } else {
            mMetrics.counter("calls.failed." + code.code()).inc();
        }
        if (route != null) {
            durations(route).update(nanos / NANOS_PER_MICRO);
        }
    }

    /** Counts a retry. */
    void recordRetry() {
        mMetrics.counter("calls.retried").inc();
    }

    private Histogram durations(Route route) {
        return mDurations
                .computeIfAbsent(route.firm(), firm -> new ConcurrentHashMap<>())
                .computeIfAbsent(
                        route.callClass().id(),
                        id -> Histograms.callDurations(mMetrics, route.firm().name(), id.name()));
    }
}
