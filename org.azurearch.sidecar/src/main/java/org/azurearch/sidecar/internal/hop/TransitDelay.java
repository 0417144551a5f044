package org.azurearch.sidecar.internal.hop;

/**
 * Estimates how much longer than usual a frame of a peer was under way, from clocks that are not
 * synchronized: the difference between the times of sending and arrival is compared with the least
 * one of the last minute. Both the steady clock and the time of day have to show a delay, since the
 * former stands still while a VM is suspended and the latter may be stepped. Confined to one
 * thread.
 */
final class TransitDelay {
    /** Time in which clocks drift apart by a few milliseconds at most. */
    private static final long WINDOW_MILLIS = 30_000;

    /** The least difference of the present window and the one before it. */
    private static final class Baseline {
        private long mPresent = Long.MAX_VALUE;
        private long mBefore = Long.MAX_VALUE;

        long excess(long difference) {
            mPresent = Math.min(mPresent, difference);
            return difference - Math.min(mPresent, mBefore);
        }

        void beginWindow() {
            mBefore = mPresent;
            mPresent = Long.MAX_VALUE;
        }
    }

    private final Baseline mSteady = new Baseline();
    private final Baseline mOfDay = new Baseline();
    private long mWindowStartMillis;

    TransitDelay(long nowMillis) {
        mWindowStartMillis = nowMillis;
    }

    /**
     * Returns the delay of a frame that arrives now, in milliseconds.
     *
     * @param sentMillis when it was sent, on the steady clock of the peer
     * @param sentAtMillis the same by the peer's time of day
     * @param nowMillis the time on the steady clock of this node
     * @param nowAtMillis the same by its time of day
     */
    long observe(long sentMillis, long sentAtMillis, long nowMillis, long nowAtMillis) {
        if (nowMillis - mWindowStartMillis >= WINDOW_MILLIS) {
            mWindowStartMillis = nowMillis;
            mSteady.beginWindow();
            mOfDay.beginWindow();
        }
        return Math.min(
                mSteady.excess(nowMillis - sentMillis), mOfDay.excess(nowAtMillis - sentAtMillis));
    }
}
