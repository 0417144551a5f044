package org.azurearch.sidecar.route;

/**
 * Decides after which silence an idempotent request is sent to a second backend server beside the
 * first: when almost all answers would have come. It answers answers that are lost and single
 * backend servers that turn slow. Confined to one thread.
 */
public final class HedgeDelay {
    /** Weight of a new observation: about the last twenty count. */
    private static final double NEW_WEIGHT = 0.05;

    /** Mean deviations beyond the mean: in one of some fifty calls an answer takes longer. */
    private static final double MEAN_DEVIATIONS = 4;

    /** Part of the target before which no second sending is made: work takes a third of it. */
    private static final double MIN_TARGET_FRACTION = 0.6;

    /** Until answers are known, the second sending waits for this part of the target. */
    private static final double INITIAL_TARGET_FRACTION = 0.8;

    private double mMean = Double.NaN;
    private double mDeviation;

    /** Takes note of how long an answer took. */
    public void observe(double millis) {
        if (Double.isNaN(mMean)) {
            mMean = millis;
            mDeviation = millis / 2;
            return;
        }
        double error = millis - mMean;
        mMean += NEW_WEIGHT * error;
        mDeviation += NEW_WEIGHT * (Math.abs(error) - mDeviation);
    }

    /**
     * Returns the silence after which to send again, in milliseconds.
     *
     * @param targetMillis the target of the route
     */
    public long delayMillis(long targetMillis) {
        double expected =
                Double.isNaN(mMean)
                        ? targetMillis * INITIAL_TARGET_FRACTION
                        : mMean + MEAN_DEVIATIONS * mDeviation;
        return (long) Math.max(targetMillis * MIN_TARGET_FRACTION, expected);
    }
}
