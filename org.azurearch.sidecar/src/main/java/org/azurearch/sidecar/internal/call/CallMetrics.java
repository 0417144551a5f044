package org.azurearch.sidecar.internal.call;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Map;
import org.azurearch.metrics.Histograms;

/** Counters and latency histograms of calls, by route. Confined to one event loop. */
final class CallMetrics {
    /** Stands in for the firm in the histograms' names, as routes belong to the whole mesh. */
    private static final String MESH = "mesh";

    private static final int MAX_ROUTES = 256;
    private static final long NANOS_PER_MICRO = 1_000L;

    private final MetricRegistry mRegistry;
    private final Map<String, Histogram> mLatencyByRoute = new HashMap<>();
    private final Map<Integer, Counter> mEndedByStatus = new HashMap<>();
    private final Counter mRetried;
    private final Counter mHedgedEarly;
    private final Counter mCancelled;

    CallMetrics(MetricRegistry registry) {
        mRegistry = registry;
        mRetried = registry.counter("calls.retried");
        mHedgedEarly = registry.counter("calls.hedged-early");
        mCancelled = registry.counter("calls.cancelled");
    }

    /** Records the status and duration of a call that has ended. */
    void ended(String route, int status, long nanos) {
        mEndedByStatus
                .computeIfAbsent(status, code -> mRegistry.counter("calls.status." + code))
                .inc();
        Histogram histogram = mLatencyByRoute.get(route);
        if (histogram == null && mLatencyByRoute.size() < MAX_ROUTES) {
            histogram = Histograms.callDurations(mRegistry, MESH, route);
            mLatencyByRoute.put(route, histogram);
        }
        if (histogram != null) {
            histogram.update(nanos / NANOS_PER_MICRO);
        }
    }

    /** Counts a retry. */
    void retried() {
        mRetried.inc();
    }

    /** Counts a second attempt that was sent early, as other requests waited for the answer. */
    void hedgedEarly() {
        mHedgedEarly.inc();
    }

    /** Counts a call that its caller cancelled. */
    void cancelled() {
        mCancelled.inc();
    }
}
