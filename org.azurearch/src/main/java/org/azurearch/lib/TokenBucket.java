package org.azurearch.lib;

/** Token bucket: each token permits one action. Not thread-safe. */
public final class TokenBucket {
    private double mTokens;

    /**
     * Creates a bucket.
     *
     * @param tokens the initial number of tokens, which may be fractional
     */
    public TokenBucket(double tokens) {
        mTokens = tokens;
    }

    /**
     * Adds tokens.
     *
     * @param tokens the number of tokens to add, which may be fractional
     * @param capacity the maximum number of tokens in the bucket afterwards
     */
    public void add(double tokens, double capacity) {
        mTokens = Math.min(capacity, mTokens + tokens);
    }

    /** Takes one token; returns false if there is none. */
    public boolean tryTake() {
        if (mTokens < 1.0) {
            return false;
        }
        mTokens -= 1.0;
        return true;
    }

    /** Returns the fraction of a token missing to take one; 0 or less if one can be taken. */
    public double missingTokens() {
        return 1.0 - mTokens;
    }
}
