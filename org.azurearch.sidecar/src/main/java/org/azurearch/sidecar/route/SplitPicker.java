package org.azurearch.sidecar.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.azurearch.sidecar.config.RouteRule;

/**
 * Distributes the requests of a route over the services that share it, so that every sequence of
 * requests keeps the proportions of the weights (smooth weighted round robin). Confined to one
 * thread.
 */
public final class SplitPicker {
    private static final int MAX_ROUTES = 4_096;

    /**
     * Fraction of a pick that is refunded if the request was refused and never ran. A full refund
     * would make the shares of the requests that run exact, but a service that is down would stop
     * the others too. With this fraction, shares stay within a tenth of their weights while up to
     * half of the requests are refused.
     */
    private static final double REFUND_FRACTION = 0.7;

    private final Map<String, double[]> mCredits = new HashMap<>();

    /**
     * Returns the service that the next request of a route goes to.
     *
     * @param route the route
     * @param start a number from 0 to 1 that differs between nodes, so that they do not pick the
     *     same service at the same moment
     */
    public String next(RouteRule route, double start) {
        List<RouteRule.WeightedService> split = route.split();
        if (split.size() == 1) {
            return split.get(0).service();
        }
        double total = split.stream().mapToInt(RouteRule.WeightedService::weight).sum();
        if (total <= 0) {
            return split.get(0).service();
        }
        double[] credits = credits(route, start);
        int best = -1;
        for (int i = 0; i < credits.length; i++) {
            credits[i] += split.get(i).weight() / total;
            if (split.get(i).weight() > 0 && (best < 0 || credits[i] > credits[best])) {
                best = i;
            }
        }
        credits[best] -= 1;
        return split.get(best).service();
    }

    /**
     * Refunds a pick whose request was refused and never ran, so that the other services do not get
     * more than their share of the requests that run.
     */
    public void onRefusal(RouteRule route, String service) {
        if (route.split().size() == 1) {
            return;
        }
        double[] credits = mCredits.get(key(route));
        double total = route.split().stream().mapToInt(RouteRule.WeightedService::weight).sum();
        if (credits == null || total <= 0) {
            return;
        }
        for (int i = 0; i < credits.length; i++) {
            RouteRule.WeightedService candidate = route.split().get(i);
            double picked = candidate.service().equals(service) ? 1 : 0;
            credits[i] += REFUND_FRACTION * (picked - candidate.weight() / total);
        }
    }

    private double[] credits(RouteRule route, double start) {
        if (mCredits.size() > MAX_ROUTES) {
            mCredits.clear();
        }
        return mCredits.computeIfAbsent(key(route), key -> initialCredits(route, start));
    }

    private static String key(RouteRule route) {
        return route.name() + route.split();
    }

    private static double[] initialCredits(RouteRule route, double start) {
        double[] credits = new double[route.split().size()];
        credits[0] = start - 0.5;
        credits[1] = 0.5 - start;
        return credits;
    }
}
