package org.azurearch.sidecar.account;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ObjIntConsumer;

/**
 * What a coordinator knows of a node: its delegation, and an upper bound of the tokens that it
 * holds. Confined to one thread.
 */
final class QuotaDelegate {
    private record Sent(long sequence, int tokens) {}

    /** The tokens of one account: those reported, and those sent since. */
    private static final class Tokens {
        private int mReported;
        private final Deque<Sent> mSent = new ArrayDeque<>(2);

        int total() {
            int total = mReported;
            for (Sent sent : mSent) {
                total += sent.tokens();
            }
            return total;
        }
    }

    private final long mEpoch;
    private final Map<String, Tokens> mTokens = new HashMap<>();
    private long mSequence = -1;
    private double mFraction;
    private long mLeaseEndMillis;
    private long mTokensEndMillis;

    QuotaDelegate(long epoch, long nowMillis) {
        mEpoch = epoch;
        mTokensEndMillis = nowMillis + QuotaRules.LEASE_MILLIS;
    }

    long epoch() {
        return mEpoch;
    }

    /** Returns the part of all rates that it delegates. */
    double fraction() {
        return mFraction;
    }

    long leaseEndMillis() {
        return mLeaseEndMillis;
    }

    /** Returns from when on none of its tokens is valid. */
    long tokensEndMillis() {
        return mTokensEndMillis;
    }

    /** Accepts a message unless it is repeated or older than one accepted before. */
    boolean accept(QuotaAsk ask) {
        if (ask.sequence() <= mSequence) {
            return false;
        }
        mSequence = ask.sequence();
        return true;
    }

    void delegate(double fraction, long leaseEndMillis) {
        mFraction = fraction;
        mLeaseEndMillis = leaseEndMillis;
    }

    /** Ends the delegation if it is no longer valid. */
    void expire(long nowMillis) {
        if (mLeaseEndMillis <= nowMillis) {
            mFraction = 0;
        }
    }

    /** Records an answer, whose tokens the node may use for one lease at most. */
    void replied(long nowMillis) {
        mTokensEndMillis = nowMillis + QuotaRules.LEASE_MILLIS;
    }

    /** Returns the largest number of tokens of an account that it may hold. */
    int outstanding(String account) {
        Tokens tokens = mTokens.get(account);
        return tokens == null ? 0 : tokens.total();
    }

    /**
     * Takes over what a message reports of an account and returns the tokens that it may hold now.
     * Tokens of answers that it had not received yet still count.
     */
    int report(QuotaAsk.Entry entry, long acknowledged) {
        Tokens tokens = mTokens.computeIfAbsent(entry.account(), name -> new Tokens());
        tokens.mReported = Math.max(0, entry.held());
        while (!tokens.mSent.isEmpty() && tokens.mSent.peekFirst().sequence() <= acknowledged) {
            tokens.mSent.removeFirst();
        }
        int total = tokens.total();
        if (total == 0) {
            mTokens.remove(entry.account());
        }
        return total;
    }

    /** Records tokens sent in the answer to a message. */
    void granted(String account, long sequence, int count) {
        if (count > 0) {
            mTokens.computeIfAbsent(account, name -> new Tokens())
                    .mSent
                    .addLast(new Sent(sequence, count));
        }
    }

    /** Forgets its tokens. */
    void clear() {
        mTokens.clear();
    }

    /** Calls a consumer with the tokens of each account that it may hold. */
    void forEachOutstanding(ObjIntConsumer<String> consumer) {
        mTokens.forEach((account, tokens) -> consumer.accept(account, tokens.total()));
    }
}
