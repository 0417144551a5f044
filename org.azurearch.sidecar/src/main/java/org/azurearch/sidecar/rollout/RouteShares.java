package org.azurearch.sidecar.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Spreads the requests that the target version gets evenly over the routes of a service, so that a
 * fault on a rare route shows while few requests of the others are exposed.
 */
final class RouteShares {
    /** Largest share of one route; the rest is compared with. */
    private static final double MAX_SHARE = 0.75;

    /** Requests that are added to those of each route, as few requests decide little. */
    private static final double PRIOR_REQUESTS = 2;

    /** Routes beyond which all get the same share, as a state is sent several times a second. */
    private static final int MAX_ROUTES = 64;

    private RouteShares() {}

    /**
     * Returns the share by route; empty if all routes get the same.
     *
     * @param share the share of the requests of all routes together
     * @param requests the number of requests by route
     */
    static Map<String, Double> spread(double share, Map<String, Long> requests) {
        Map<String, Double> shares = new HashMap<>();
        if (share >= MAX_SHARE || requests.size() < 2 || requests.size() > MAX_ROUTES) {
            return shares;
        }
        List<String> rarestFirst = new ArrayList<>(requests.keySet());
        rarestFirst.sort(Comparator.comparing(route -> requests.getOrDefault(route, 0L)));
        double total = 0;
        for (long count : requests.values()) {
            total += count + PRIOR_REQUESTS;
        }
        double left = share * total;
        int routes = rarestFirst.size();
        for (String route : rarestFirst) {
            double count = requests.getOrDefault(route, 0L) + PRIOR_REQUESTS;
            double exposed = Math.min(left / routes, MAX_SHARE * count);
            shares.put(route, exposed / count);
            left -= exposed;
            routes--;
        }
        return shares;
    }
}
