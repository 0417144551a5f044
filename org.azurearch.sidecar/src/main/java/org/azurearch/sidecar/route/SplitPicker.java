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

    /**
     * Part of a deal that is taken back where the request was refused and never ran. With all of it
     * the shares of what runs would be exact, but a service that is gone would stop the others too;
     * with this much, shares stay within a tenth of their weights up to refusals of one in two.
     */
    private static final double REFUND_FRACTION = 0.7;

    private final Map<String, double[]> mCredits = new HashMap<>();

    /**
     * Returns the service that the next request of a route goes to.
     *
     * @param route the route
     * @param start a number from 0 to 1 that differs between nodes, so that they do not deal the
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
     * Takes note that a request which was dealt to a service was refused and never ran: the service
     * is owed another one, so that the others do not get more than their share of what runs.
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
