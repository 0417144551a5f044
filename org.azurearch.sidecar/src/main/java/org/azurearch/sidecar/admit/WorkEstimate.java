package org.azurearch.sidecar.admit;

import java.util.HashMap;
import java.util.Map;

/** Estimates how long the backend server works on a request, by route. Confined to one thread. */
public final class WorkEstimate {
    /** Weight of a new observation in the moving average: about the last ten requests count. */
    private static final double NEW_WEIGHT = 0.1;

    /** Expected work before the first observation, as a fraction of the target. */
    private static final double INITIAL_TARGET_FRACTION = 0.3;

    /** Limit of the routes with an estimate; a configuration has a few hundred. */
    private static final int MAX_ROUTES = 4_096;

    private final Map<String, Double> mMillisByRoute = new HashMap<>();
    private double mMeanMillis = Double.NaN;

    /** Adds the time that a request took. */
    public void observe(String route, double millis) {
        if (mMillisByRoute.size() >= MAX_ROUTES) {
            mMillisByRoute.clear();
        }
        mMillisByRoute.merge(route, millis, (old, now) -> old + NEW_WEIGHT * (now - old));
        mMeanMillis =
                Double.isNaN(mMeanMillis)
                        ? millis
                        : mMeanMillis + NEW_WEIGHT * (millis - mMeanMillis);
    }

    /**
     * Returns how long a request is expected to take, in milliseconds.
     *
     * @param route the name of its route
     * @param targetMillis the target of the route, from which the time is estimated before the
     *     first observation
     */
    public double expectedMillis(String route, long targetMillis) {
        Double known = mMillisByRoute.get(route);
        return known != null ? known : targetMillis * INITIAL_TARGET_FRACTION;
    }

    /** Returns the mean over all requests in milliseconds, or 0 before the first. */
    public double meanMillis() {
        return Double.isNaN(mMeanMillis) ? 0 : mMeanMillis;
    }
}
