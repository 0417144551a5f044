package org.azurearch.sidecar.internal.call;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Map;
import org.azurearch.sidecar.FeatureSettings.HedgeLimit;
import org.azurearch.sidecar.config.RouteRule;
import org.azurearch.sidecar.route.HedgeLimiter;
import org.azurearch.sidecar.route.HedgePolicy;
import org.azurearch.sidecar.route.RouteLatency;

/** What the limited hedges of a node share. Confined to one event loop. */
final class Hedges {
    /** Limit of the routes and of the services whose state is kept; the oldest state is dropped. */
    private static final int MAX_ENTRIES = 256;

    private final HedgeLimit mLimit;
    private final HedgePolicy mPolicy;
    private final HedgeMetrics mMetrics;
    private final Map<String, HedgeLimiter> mLimiters = new HashMap<>();
    private final Map<String, RouteLatency> mLatencies = new HashMap<>();
    private boolean mStopping;

    Hedges(HedgeLimit limit, MetricRegistry registry) {
        mLimit = limit;
        mPolicy = new HedgePolicy(limit.quantile());
        mMetrics = new HedgeMetrics(registry);
    }

    HedgePolicy policy() {
        return mPolicy;
    }

    HedgeMetrics metrics() {
        return mMetrics;
    }

    /** Sends no hedged request from now on, as the node is stopping. */
    void stop() {
        mStopping = true;
    }

    boolean stopping() {
        return mStopping;
    }

    HedgeLimiter limiter(String service) {
        if (mLimiters.size() >= MAX_ENTRIES && !mLimiters.containsKey(service)) {
            mLimiters.clear();
        }
        return mLimiters.computeIfAbsent(
                service,
                name -> new HedgeLimiter(mLimit.maxExtraFraction(), mLimit.windowMillis()));
    }

    RouteLatency latency(RouteRule route) {
        if (mLatencies.size() >= MAX_ENTRIES && !mLatencies.containsKey(route.name())) {
            mLatencies.clear();
        }
        return mLatencies.computeIfAbsent(route.name(), name -> new RouteLatency());
    }
}
