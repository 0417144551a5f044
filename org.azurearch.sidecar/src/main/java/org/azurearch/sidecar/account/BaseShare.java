package org.azurearch.sidecar.account;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The part of each rate that belongs to this node and that it spends while it has no coordinator.
 * Confined to one thread.
 */
final class BaseShare {
    /**
     * How long a token is valid. Tokens kept longer would add up over all nodes to more than a
     * window allows, if the account falls silent and then comes back at all nodes at once.
     */
    private static final long TOKEN_MILLIS = 200;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** The tokens of one account. */
    private static final class Share {
        private double mFraction;
        private int mTokens;
        private long mFilledMillis;
        private long mFreshMillis;
    }

    private final SplittableRandom mRandom;
    private final Map<String, Share> mShares = new HashMap<>();
    private int mHolders = 1;
    private long mUsedMillis;

    BaseShare(SplittableRandom random) {
        mRandom = random;
    }

    void setHolders(int holders) {
        mHolders = Math.max(1, holders);
    }

    void retain(AccountDirectory accounts) {
        mShares.keySet().removeIf(name -> accounts.findByName(name) == null);
    }

    /** Takes a token of an account; returns false if there is none now. */
    boolean tryTake(ClientAccount account, long nowMillis) {
        Share share = mShares.get(account.name());
        if (share == null) {
            share = new Share();
            share.mFraction = mRandom.nextDouble();
            share.mFilledMillis = nowMillis;
            mShares.put(account.name(), share);
        }
        fill(share, account, nowMillis);
        if (share.mTokens == 0) {
            return false;
        }
        share.mTokens--;
        return true;
    }

    /** Forgets all tokens, as the base share is delegated from now on. */
    void clear() {
        mShares.clear();
    }

    private void fill(Share share, ClientAccount account, long nowMillis) {
        double perMilli = account.ratePerSecond() / mHolders / MILLIS_PER_SECOND;
        double filled = share.mFraction + perMilli * (nowMillis - share.mFilledMillis);
        double whole = Math.floor(filled);
        share.mFraction = filled - whole;
        share.mFilledMillis = nowMillis;
        // A token became available when the sum passed a whole number.
        long newestMillis = nowMillis - (long) (share.mFraction / perMilli);
        if (nowMillis - share.mFreshMillis > TOKEN_MILLIS) {
            share.mTokens = 0;
        }
        if (whole >= 1 && nowMillis - newestMillis <= TOKEN_MILLIS) {
            int recent = 1 + (int) Math.floor(perMilli * TOKEN_MILLIS);
            share.mTokens = (int) Math.min(recent, share.mTokens + whole);
            share.mFreshMillis = newestMillis;
        }
    }
}
