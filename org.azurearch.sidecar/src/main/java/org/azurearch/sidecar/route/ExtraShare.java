package org.azurearch.sidecar.route;

/**
 * Keeps what is spent within a fraction of what was counted, over a sliding window. Confined to one
 * thread.
 *
 * <p>Spending is compared with the count over the same trailing period, which is as short as allows
 * a whole unit to be spent, at most one window. Any window is covered by such periods; only the
 * first one reaches back beyond it, by less than its length L. The fraction is therefore reduced to
 * W / (W + L) of the limit, so that the limit holds in each window W in which the rate is not lower
 * than in the time L before it.
 */
final class ExtraShare {
    /** Slices of a window. */
    private static final int SLICES = 20;

    /** The shortest period, in slices. */
    private static final int MIN_SLICES = 4;

    /** Units that a period must allow; with less, one that is spent would leave no room. */
    private static final double MIN_UNITS = 2;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final double mFraction;
    private final long mSliceNanos;
    private final double[] mCounted = new double[SLICES];
    private final double[] mSpent = new double[SLICES];
    private long mSlice = Long.MIN_VALUE;

    /**
     * Creates an account that has counted nothing.
     *
     * @param fraction the limit of what is spent, as a fraction of what is counted
     * @param windowMillis the length of the window
     */
    ExtraShare(double fraction, long windowMillis) {
        mFraction = fraction;
        mSliceNanos = Math.max(1, windowMillis * NANOS_PER_MILLI / SLICES);
    }

    /** Counts an amount. */
    void count(double amount, long nowNanos) {
        advance(nowNanos);
        mCounted[index(mSlice)] += amount;
    }

    /** Returns whether an amount may be spent. */
    boolean allows(double amount, long nowNanos) {
        advance(nowNanos);
        double counted = 0;
        double spent = 0;
        double allowed = 0;
        for (int slices = 1; slices <= SLICES; slices++) {
            int slice = index(mSlice - slices + 1);
            counted += mCounted[slice];
            spent += mSpent[slice];
            allowed = counted * mFraction * SLICES / (SLICES + slices);
            if (slices >= MIN_SLICES && allowed >= MIN_UNITS * amount) {
                break;
            }
        }
        return spent + amount <= allowed;
    }

    /** Records that an amount was spent. */
    void spend(double amount, long nowNanos) {
        advance(nowNanos);
        mSpent[index(mSlice)] += amount;
    }

    private void advance(long nowNanos) {
        long slice = Math.floorDiv(nowNanos, mSliceNanos);
        if (mSlice == Long.MIN_VALUE) {
            mSlice = slice;
        }
        long cleared = Math.min(SLICES, slice - mSlice);
        for (long i = 0; i < cleared; i++) {
            mCounted[index(slice - i)] = 0;
            mSpent[index(slice - i)] = 0;
        }
        mSlice = Math.max(mSlice, slice);
    }

    private static int index(long slice) {
        return (int) Math.floorMod(slice, (long) SLICES);
    }
}
