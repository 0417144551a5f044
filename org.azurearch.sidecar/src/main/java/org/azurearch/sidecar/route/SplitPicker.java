package org.azurearch.sidecar.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.azurearch.sidecar.config.RouteRule;

/**
 * Deals the requests of a route to the services that share it, so that every run of requests holds
 * the proportions of the weights (smooth weighted round robin). Confined to one thread.
 */
public final class SplitPicker {
    private static final int MAX_ROUTES = 4_096;

    private final Map<String, double[]> mCredits = new HashMap<>();

    /**
     * Returns the service that the next request of a route goes to.
     *
     * @param route the route
     * @param start a number from 0 to 1 that differs between nodes, so that they do not deal the
     *     same service at the same moment
     */
    public String next(RouteRule route, double start) {
        List<RouteRule.Part> parts = route.parts();
        if (parts.size() == 1) {
            return parts.get(0).service();
        }
        double total = parts.stream().mapToInt(RouteRule.Part::weight).sum();
        if (total <= 0) {
            return parts.get(0).service();
        }
        double[] credits = credits(route, start);
        int best = -1;
        for (int i = 0; i < credits.length; i++) {
            credits[i] += parts.get(i).weight() / total;
            if (parts.get(i).weight() > 0 && (best < 0 || credits[i] > credits[best])) {
                best = i;
            }
        }
        credits[best] -= 1;
        return parts.get(best).service();
    }

    private double[] credits(RouteRule route, double start) {
        if (mCredits.size() > MAX_ROUTES) {
            mCredits.clear();
        }
        String key = route.name() + route.parts();
        return mCredits.computeIfAbsent(key, k -> starting(route, start));
    }

    private static double[] starting(RouteRule route, double start) {
        double[] credits = new double[route.parts().size()];
        credits[0] = start - 0.5;
        credits[1] = 0.5 - start;
        return credits;
    }
}
