package org.azurearch.sidecar.rollout;

/**
 * The rate of bad outcomes over a long and a short time, the higher of which counts: a failure that
 * hits all versions at once shows in the short one first. Without new outcomes the rate stays.
 */
final class RecentRate {
    private static final double LONG_MILLIS = 2_000;
    private static final double SHORT_MILLIS = 300;

    /** Outcomes at the prior rate that are added, so that few outcomes decide little. */
    private static final double PRIOR_OUTCOMES = 20;

    private double mLongBad;
    private double mLongCount;
    private double mShortBad;
    private double mShortCount;

    /**
     * Adds outcomes.
     *
     * @param bad the number of bad ones
     * @param count the number of all
     * @param millis the time since outcomes were added before
     */
    void add(long bad, long count, long millis) {
        if (count <= 0) {
            return;
        }
        double longFactor = Math.exp(-millis / LONG_MILLIS);
        double shortFactor = Math.exp(-millis / SHORT_MILLIS);
        mLongBad = mLongBad * longFactor + bad;
        mLongCount = mLongCount * longFactor + count;
        mShortBad = mShortBad * shortFactor + bad;
        mShortCount = mShortCount * shortFactor + count;
    }

    /** Returns the rate, given the one that is assumed before the first outcome. */
    double rate(double prior) {
        double longRate = (mLongBad + prior * PRIOR_OUTCOMES) / (mLongCount + PRIOR_OUTCOMES);
        double shortRate = (mShortBad + prior * PRIOR_OUTCOMES) / (mShortCount + PRIOR_OUTCOMES);
        return Math.max(longRate, shortRate);
    }
}
