package org.azurearch.sidecar.admit;

import java.util.HashMap;
import java.util.Map;

/** How long the backend server works on a request of each route. Confined to one thread. */
public final class WorkEstimate {
    /** Weight of a new observation: about the last ten requests count. */
    private static final double NEW_WEIGHT = 0.1;

    /** Before the first observation, part of the target that the work is taken to last. */
    private static final double PART_OF_TARGET = 0.3;

    /** Routes held at the most; a configuration has some hundreds. */
    private static final int MAX_ROUTES = 4_096;

    private final Map<String, Double> mMillis = new HashMap<>();
    private double mMean = Double.NaN;

    /** Takes note of how long a request took. */
    public void observed(String route, double millis) {
        if (mMillis.size() >= MAX_ROUTES) {
            mMillis.clear();
        }
        mMillis.merge(route, millis, (old, now) -> old + NEW_WEIGHT * (now - old));
        mMean = Double.isNaN(mMean) ? millis : mMean + NEW_WEIGHT * (millis - mMean);
    }

    /**
     * Returns how long a request is expected to take, in milliseconds.
     *
     * @param route the name of its route
     * @param targetMillis the target of the route, from which the first guess is made
     */
    public double of(String route, long targetMillis) {
        Double known = mMillis.get(route);
        return known != null ? known : targetMillis * PART_OF_TARGET;
    }

    /** Returns the mean over all requests, or 0 before the first. */
    public double mean() {
        return Double.isNaN(mMean) ? 0 : mMean;
    }
}
