package org.azurearch.sidecar.rollout;

/**
 * How many requests a version may get before it is known to be good.
 *
 * @param fraction the largest fraction of the service's requests
 * @param slack the number of requests beyond that
 */
public record ExposureBudget(double fraction, double slack) {
    /**
     * Fraction of the expected requests that is counted on, as demand may drop before the end and
     * requests on their way are not counted yet.
     */
    private static final double CERTAIN_FRACTION = 0.85;

    /** Fraction of the slack that is used, as reports lag behind. */
    private static final double SLACK_FRACTION = 0.7;

    /**
     * Returns the number of requests that the version may get in total.
     *
     * @param requests the requests of the service so far
     * @param elapsedMillis the time that they came in
     * @param durationMillis the time over which the bound holds
     */
    public double total(long requests, long elapsedMillis, long durationMillis) {
        double expected = requests * (double) durationMillis / Math.max(1, elapsedMillis);
        double counted = Math.max(requests, CERTAIN_FRACTION * expected);
        return fraction * counted + SLACK_FRACTION * slack;
    }
}
