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
    private static final double TAKEN_BACK = 0.7;

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

    /**
     * Takes note that a request which was dealt to a service was refused and never ran: the service
     * is owed another one, so that the others do not get more than their share of what runs.
     */
    public void refused(RouteRule route, String service) {
        if (route.parts().size() == 1) {
            return;
        }
        double[] credits = mCredits.get(key(route));
        double total = route.parts().stream().mapToInt(RouteRule.Part::weight).sum();
        if (credits == null || total <= 0) {
            return;
        }
        for (int i = 0; i < credits.length; i++) {
            RouteRule.Part part = route.parts().get(i);
            double dealt = part.service().equals(service) ? 1 : 0;
            credits[i] += TAKEN_BACK * (dealt - part.weight() / total);
        }
    }

    private double[] credits(RouteRule route, double start) {
        if (mCredits.size() > MAX_ROUTES) {
            mCredits.clear();
        }
        return mCredits.computeIfAbsent(key(route), key -> starting(route, start));
    }

    private static String key(RouteRule route) {
        return route.name() + route.parts();
    }

    private static double[] starting(RouteRule route, double start) {
        double[] credits = new double[route.parts().size()];
        credits[0] = start - 0.5;
        credits[1] = 0.5 - start;
        return credits;
    }
}
