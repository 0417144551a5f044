package org.azurearch.route;

import org.azurearch.lib.TokenBucket;

/**
 * Bounds retries to a percentage of first attempts. Confined to one thread.
 *
 * <p>A small reserve lets a service with few calls retry at all.
 */
public final class RetryBudget {
    private static final double RESERVE_TOKENS = 3.0;
    private static final double MAX_TOKENS = 100.0;
    private static final double PERCENT = 100.0;

    private final TokenBucket mTokens = new TokenBucket(RESERVE_TOKENS);

    /**
     * Counts a first attempt.
     *
     * @param percent retries allowed, in percent of first attempts
     */
    public void recordFirstAttempt(int percent) {
        mTokens.add(percent / PERCENT, MAX_TOKENS);
    }

    /** Takes the right to one retry, if there is one. */
    public boolean tryTake() {
        return mTokens.tryTake();
    }
}
