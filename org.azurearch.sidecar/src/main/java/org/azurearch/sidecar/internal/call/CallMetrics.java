package org.azurearch.sidecar.internal.call;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Map;
import org.azurearch.metrics.Histograms;

/** Counters and latency histograms of calls, by route. Confined to one event loop. */
final class CallMetrics {
    /** The name under which the histograms of all routes of this mesh stand. */
    private static final String MESH = "mesh";

    private static final int MAX_ROUTES = 256;
    private static final long NANOS_PER_MICRO = 1_000L;

    private final MetricRegistry mRegistry;
    private final Map<String, Histogram> mByRoute = new HashMap<>();
    private final Map<Integer, Counter> mByStatus = new HashMap<>();
    private final Counter mRetried;
    private final Counter mCancelled;

    CallMetrics(MetricRegistry registry) {
        mRegistry = registry;
        mRetried = registry.counter("calls.retried");
        mCancelled = registry.counter("calls.cancelled");
    }

    /** Counts a call that has ended. */
    void ended(String route, int status, long nanos) {
        mByStatus.computeIfAbsent(status, code -> mRegistry.counter("calls.status." + code)).inc();
        Histogram histogram = mByRoute.get(route);
        if (histogram == null && mByRoute.size() < MAX_ROUTES) {
            histogram = Histograms.callDurations(mRegistry, MESH, route);
            mByRoute.put(route, histogram);
        }
        if (histogram != null) {
            histogram.update(nanos / NANOS_PER_MICRO);
        }
    }

    /** Counts a further sending of a call. */
    void retried() {
        mRetried.inc();
    }

    /** Counts a call whose caller left. */
    void cancelled() {
        mCancelled.inc();
    }
}
