package org.azurearch.sidecar.account;

import org.jspecify.annotations.Nullable;

/** The tokens that this node holds of one account, and the demand for them. */
final class HeldTokens {
    /** Time over which the demand is averaged. */
    private static final double DEMAND_MILLIS = 700;

    /** Demand below which an account is forgotten, in requests a second: none for about 7 s. */
    private static final double IDLE_PER_SECOND = 0.001;

    /**
     * Time after an answer in which no further tokens are asked of a scarce account. It bounds the
     * messages while demand is far above the limit.
     */
    private static final long SCARCE_MILLIS = 120;

    /** Tokens for this time of demand and one more are kept; the rest is returned if scarce. */
    private static final double KEEP_MILLIS = 250;

    /** Longest delay after which a refused request is asked to come back. */
    private static final double MAX_RETRY_MILLIS = 5_000;

    private static final double HALF = 0.5;
    private static final double MIN_RETRY_MILLIS = 20;
    private static final double MILLIS_PER_SECOND = 1_000;

    private int mTokens;
    private int mUrgent;
    private int mReported;
    private long mUrgentAtMillis = Long.MIN_VALUE / 2;
    private double mDemandPerSecond;
    private double mGrantedPerSecond;
    private long mDemandAtMillis;
    private long mGrantedAtMillis;
    private long mScarceUntilMillis;
    private boolean mScarce;
    private int mWaitMillis;
    private double mBacklogMillis;
    private long mBacklogAtMillis;

    /** Counts a request towards the demand; a less urgent one only while tokens are plenty. */
    void arrived(boolean urgent, long nowMillis) {
        decayDemand(nowMillis);
        mUrgentAtMillis = urgent ? nowMillis : mUrgentAtMillis;
        if (urgent || !keptForUrgent(nowMillis)) {
            mDemandPerSecond += MILLIS_PER_SECOND / DEMAND_MILLIS;
        }
    }

    /** Takes a token; the last ones of a scarce account are kept for urgent requests. */
    boolean take(boolean urgent, long nowMillis) {
        if (mUrgent > 0) {
            mUrgent--;
            return true;
        }
        if (mTokens == 0 || (!urgent && keptForUrgent(nowMillis))) {
            return false;
        }
        mTokens--;
        return true;
    }

    private boolean keptForUrgent(long nowMillis) {
        return mScarce && nowMillis - mUrgentAtMillis < QuotaRules.RESERVE_MILLIS;
    }

    void refund() {
        mTokens++;
    }

    /** Drops the tokens for waiting requests that found none. */
    void dropUrgent() {
        mUrgent = 0;
    }

    void drop() {
        mUrgent = 0;
        mTokens = 0;
    }

    void granted(int urgent, int held, int waitMillis, long nowMillis) {
        mUrgent = Math.max(0, urgent);
        mTokens += Math.max(0, held);
        int tokens = urgent + held;
        mScarce = waitMillis > 0;
        mWaitMillis = waitMillis;
        mScarceUntilMillis = nowMillis + SCARCE_MILLIS;
        double decay = Math.exp((mGrantedAtMillis - nowMillis) / DEMAND_MILLIS);
        mGrantedPerSecond = mGrantedPerSecond * decay + tokens * MILLIS_PER_SECOND / DEMAND_MILLIS;
        mGrantedAtMillis = nowMillis;
    }

    /** Returns whether the newest answer said that there are none to spare. */
    boolean scarceLately() {
        return mScarce;
    }

    /** Returns whether the coordinator has none to spare until later. */
    boolean scarce(long nowMillis) {
        return mScarce && nowMillis < mScarceUntilMillis;
    }

    /** Returns whether the coordinator has none until later for a request. */
    boolean exhausted(boolean urgent, long nowMillis) {
        return scarce(nowMillis) && (!urgent || mWaitMillis > QuotaRules.NO_WAIT_MILLIS);
    }

    /** Returns whether the tokens last for less than the given time. */
    boolean low(double millis, long nowMillis) {
        return mTokens < mDemandPerSecond * millis / MILLIS_PER_SECOND && !scarce(nowMillis);
    }

    /** Returns whether tokens of a scarce account were spent, or are to be returned. */
    boolean reportsSoon(double aheadMillis, long nowMillis) {
        if (!mScarce) {
            return false;
        }
        decayDemand(nowMillis);
        return changed() || mTokens > keep(aheadMillis);
    }

    private boolean changed() {
        return mTokens != mReported;
    }

    boolean idle(long nowMillis) {
        decayDemand(nowMillis);
        return mTokens == 0 && mReported == 0 && mDemandPerSecond < IDLE_PER_SECOND;
    }

    /**
     * Returns how long until a further refused request may expect a token: those refused before it
     * come first.
     *
     * @param basePerSecond the rate at which this node gets tokens at least
     */
    long refused(double basePerSecond, long nowMillis) {
        double perSecond = Math.max(Math.max(basePerSecond, mGrantedPerSecond), 1e-3);
        double left = Math.max(0, mBacklogMillis - (nowMillis - mBacklogAtMillis));
        mBacklogMillis = Math.min(MAX_RETRY_MILLIS, left + MILLIS_PER_SECOND / perSecond);
        mBacklogAtMillis = nowMillis;
        return (long) Math.max(MIN_RETRY_MILLIS, Math.max(mBacklogMillis, mWaitMillis));
    }

    /**
     * Returns the entry of the next message, or null if there is nothing to report or to ask.
     *
     * @param needed the tokens for which requests of the most urgent rank wait
     * @param others the tokens for which other requests wait
     */
    QuotaAsk.@Nullable Entry entry(
            String account,
            int needed,
            int others,
            double soonMillis,
            double aheadMillis,
            boolean full,
            long nowMillis) {
        decayDemand(nowMillis);
        int returned = Math.max(0, mTokens - keep(aheadMillis));
        mTokens -= returned;
        int soon = wanted(soonMillis, 0);
        int ahead = Math.max(0, wanted(aheadMillis, HALF) - soon);
        boolean asks = needed + others + soon > 0 || (ahead > 0 && ahead > mTokens);
        if (!asks && returned == 0 && !changed() && !(full && mTokens > 0)) {
            return null;
        }
        mReported = mTokens;
        return new QuotaAsk.Entry(account, mTokens, needed, others, soon, ahead, returned);
    }

    private int keep(double aheadMillis) {
        double millis = mScarce ? KEEP_MILLIS : 2 * aheadMillis;
        return (int) Math.round(mDemandPerSecond * millis / MILLIS_PER_SECOND);
    }

    private int wanted(double millis, double roundUp) {
        double tokens = mDemandPerSecond * millis / MILLIS_PER_SECOND + roundUp;
        return (int) Math.max(0, Math.floor(tokens) - mTokens);
    }

    private void decayDemand(long nowMillis) {
        if (nowMillis > mDemandAtMillis) {
            mDemandPerSecond *= Math.exp((mDemandAtMillis - nowMillis) / DEMAND_MILLIS);
            mDemandAtMillis = nowMillis;
        }
    }
}
