package org.azurearch.route;

import org.azurearch.lib.TokenBucket;

/**
 * Limits retries to a percentage of first attempts. Confined to one thread.
 *
 * <p>A small initial reserve allows retries to services with few calls.
 */
public final class RetryBudget {
    private static final double RESERVE_TOKENS = 3.0;
    private static final double MAX_TOKENS = 100.0;
    private static final double PERCENT = 100.0;

    private final TokenBucket mTokens = new TokenBucket(RESERVE_TOKENS);

    /**
     * Counts a first attempt.
     *
     * @param percent retries allowed, as a percentage of first attempts
     */
    public void recordFirstAttempt(int percent) {
        mTokens.add(percent / PERCENT, MAX_TOKENS);
    }

    /** Takes one retry from the budget; returns false if the budget is used up. */
    public boolean tryTake() {
        return mTokens.tryTake();
    }
}
