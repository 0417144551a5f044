package org.azurearch.sidecar;

import org.jspecify.annotations.Nullable;

/**
 * Settings of features that only some deployments use.
 *
 * @param quota the tolerance of the quotas of client accounts; null if the deployment has none
 * @param rollout the bounds of roll-outs; null if the deployment has none
 * @param hedge the limit of hedged requests; null for the default second attempts
 * @param linkMbps the bandwidth of the VM's link, in megabits a second; infinite if not given
 */
public record FeatureSettings(
        @Nullable QuotaBound quota,
        @Nullable RolloutBound rollout,
        @Nullable HedgeLimit hedge,
        double linkMbps) {
    /** No feature and no limit of the link. */
    public static final FeatureSettings NONE =
            new FeatureSettings(null, null, null, Double.POSITIVE_INFINITY);

    /**
     * The tolerance of quotas. In a window, the requests of an account that run may exceed its rate
     * and burst by a fraction and a number.
     *
     * @param windowMillis the length of the window
     * @param overFraction the fraction
     * @param slack the number of requests
     */
    public record QuotaBound(long windowMillis, double overFraction, double slack) {}

    /**
     * The bounds of roll-outs.
     *
     * @param exposeFraction the largest fraction of a service's requests that a bad version gets
     * @param exposeSlack the number of requests that it gets beyond that
     * @param rollbackMillis the time after its 50th bad answer by which it gets no more requests
     */
    public record RolloutBound(double exposeFraction, double exposeSlack, long rollbackMillis) {}

    /**
     * The limit of hedged requests, summed over all nodes.
     *
     * @param maxExtraFraction additional requests as a fraction of a service's requests in a window
     * @param windowMillis the length of the window
     * @param quantile the quantile of a route's latency after which a request is hedged
     */
    public record HedgeLimit(double maxExtraFraction, long windowMillis, double quantile) {}

    /** Checks that the bandwidth is positive. */
    public FeatureSettings {
        if (!(linkMbps > 0)) {
            throw new IllegalArgumentException("bandwidth must be positive: " + linkMbps);
        }
    }
}
