package org.azurearch.sidecar.admit;

/**
 * Decides during a planned stop whether a request may still be sent to a backend server: only if
 * its answer is likely to come before the node ends. Allows all until a stop begins. Confined to
 * one thread.
 */
public final class StopLimit {
    /** Time for an answer to pass between nodes and to its caller. */
    private static final double ANSWER_MILLIS = 100;

    private static final double NANOS_PER_MILLI = 1e6;

    private boolean mStopping;
    private long mEndNanos;

    /**
     * Records that a stop has begun.
     *
     * @param endNanos when the node ends, on the steady clock
     */
    public void stopAt(long endNanos) {
        mStopping = true;
        mEndNanos = endNanos;
    }

    /** Returns whether a stop has begun; until then all requests may be sent. */
    public boolean stopping() {
        return mStopping;
    }

    /**
     * Returns whether a request may be sent now.
     *
     * @param likelyMillis how long almost all requests like it take
     * @param leftMillis the time until its deadline, at which it ends in any case
     * @param nowNanos the time on the steady clock
     */
    public boolean allows(double likelyMillis, double leftMillis, long nowNanos) {
        double needed = Math.min(likelyMillis, leftMillis) + ANSWER_MILLIS;
        return !mStopping || needed <= (mEndNanos - nowNanos) / NANOS_PER_MILLI;
    }
}
