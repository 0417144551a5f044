package org.azurearch.lib;

/** Tokens of which each gives the right to one action. Confined to one thread. */
public final class TokenBucket {
    private double mTokens;

    /**
     * Creates a bucket.
     *
     * @param tokens the tokens that it holds at first; parts of one count
     */
    public TokenBucket(double tokens) {
        mTokens = tokens;
    }

    /**
     * Adds tokens.
     *
     * @param tokens how many; parts of one count
     * @param capacity the most that the bucket holds afterwards
     */
    public void add(double tokens, double capacity) {
        mTokens = Math.min(capacity, mTokens + tokens);
    }

    /** Takes one token, if there is one. */
    public boolean tryTake() {
        if (mTokens < 1.0) {
            return false;
        }
        mTokens -= 1.0;
        return true;
    }

    /** Returns the part of a token that is missing until one can be taken; 0 or less if none is. */
    public double missingTokens() {
        return 1.0 - mTokens;
    }
}
