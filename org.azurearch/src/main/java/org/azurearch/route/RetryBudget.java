package org.azurearch.route;

/**
 * Token bucket that bounds retries to a percentage of first attempts. Confined to one thread.
 *
 * <p>A small reserve lets a service with few calls retry at all.
 */
public final class RetryBudget {
    private static final double RESERVE_TOKENS = 3.0;
    private static final double MAX_TOKENS = 100.0;
    private static final double PERCENT = 100.0;

    private double mTokens = RESERVE_TOKENS;

    /**
     * Counts a first attempt.
     *
     * @param percent retries allowed, in percent of first attempts
     */
    public void attempted(int percent) {
        mTokens = Math.min(MAX_TOKENS, mTokens + percent / PERCENT);
    }

    /** Takes the right to one retry, if there is one. */
    public boolean tryRetry() {
        if (mTokens < 1.0) {
            return false;
        }
        mTokens -= 1.0;
        return true;
    }
}
