package org.azurearch.sidecar.route;

/**
 * Computes how long an idempotent request stays unanswered before it is also sent to a second
 * backend server: the time within which almost all answers arrive. This covers lost answers and
 * single backend servers that have become slow. Confined to one thread.
 */
public final class HedgeDelay {
    /** Weight of a new observation in the moving averages: about the last twenty count. */
    private static final double NEW_WEIGHT = 0.05;

    /** Mean deviations added to the mean; about one answer in fifty takes longer. */
    private static final double MEAN_DEVIATIONS = 4;

    /** The shortest delay as a fraction of the target; the work takes a third of the target. */
    private static final double MIN_TARGET_FRACTION = 0.6;

    /** The delay before the first observation, as a fraction of the target. */
    private static final double INITIAL_TARGET_FRACTION = 0.8;

    private double mMean = Double.NaN;
    private double mDeviation;

    /** Adds the time that an answer took. */
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
     * Returns the delay before the second attempt, in milliseconds.
     *
     * @param targetMillis the target of the route
     */
    public long delayMillis(long targetMillis) {
        return delayMillis(targetMillis, MIN_TARGET_FRACTION, MEAN_DEVIATIONS);
    }

    /**
     * Returns the delay with another minimum, as a fraction of the target, and other deviations.
     */
    long delayMillis(long targetMillis, double minTargetFraction, double meanDeviations) {
        double expected =
                Double.isNaN(mMean)
                        ? targetMillis * INITIAL_TARGET_FRACTION
                        : mMean + meanDeviations * mDeviation;
        return (long) Math.max(targetMillis * minTargetFraction, expected);
    }
}
