package org.azurearch.internal.call;

import com.codahale.metrics.MetricRegistry;
import org.azurearch.errors.ErrorCode;
import org.azurearch.metrics.Histograms;
import org.azurearch.route.Route;
import org.jspecify.annotations.Nullable;

/** Metrics of the calls that this node takes from callers. */
final class CallMetrics {
    private static final long NANOS_PER_MICRO = 1_000L;

    private final MetricRegistry mMetrics;

    CallMetrics(MetricRegistry metrics) {
        mMetrics = metrics;
    }

    /**
     * Counts a call.
     *
     * @param route the route, or null when none was found
     * @param code the code of the failure, or null for an answer
     * @param nanos how long the call took
     */
    void record(@Nullable Route route, @Nullable ErrorCode code, long nanos) {
        mMetrics.counter(code == null ? "calls.answered" : "calls.failed." + code.code()).inc();
        if (route != null) {
            Histograms.calls(mMetrics, route.firm().name(), route.callClass().id().name())
                    .update(nanos / NANOS_PER_MICRO);
        }
    }

    /** Counts a further attempt of a call. */
    void retried() {
        mMetrics.counter("calls.retried").inc();
    }
}
