package org.azurearch.sidecar.internal.mesh;

/**
 * Decides for how long the configuration in force may be used without word of a newer one. It is
 * known to be the newest as of a time: that of a read of the store, or that at which a peer was
 * asked which version it has. Messages may be late, so that their arrival proves nothing. Confined
 * to one thread.
 */
final class ConfigLease {
    /**
     * How long a confirmation holds, as a fraction of the time within which an accepted
     * configuration has to be in force. It begins when a read was sent that the store has answered,
     * so that nothing newer had been accepted by then.
     */
    private static final double VALID_APPLIES = 0.9;

    /** The same fraction after which a confirmation is asked for at once. */
    private static final double RENEWAL_APPLIES = 0.3;

    /** The same fraction after which a node whose peers are silent reads the store itself. */
    private static final double STORE_READ_APPLIES = 0.45;

    private final long mValidNanos;
    private final long mRenewalNanos;
    private final long mStoreReadNanos;
    private boolean mConfirmed;
    private long mAsOfNanos;
    private String mBy = "nothing";
    private boolean mConfirmedByPeer;
    private long mPeerAsOfNanos;

    /**
     * Creates a lease that has ended.
     *
     * @param applyNanos the time within which an accepted configuration has to be in force
     */
    ConfigLease(long applyNanos) {
        mValidNanos = (long) (applyNanos * VALID_APPLIES);
        mRenewalNanos = (long) (applyNanos * RENEWAL_APPLIES);
        mStoreReadNanos = (long) (applyNanos * STORE_READ_APPLIES);
    }

    /**
     * Records that the version in force was the newest known to a reader at a time.
     *
     * @param by what shows it, for the log
     */
    void confirmed(long asOfNanos, String by) {
        if (!mConfirmed || asOfNanos - mAsOfNanos > 0) {
            mAsOfNanos = asOfNanos;
            mBy = by;
        }
        mConfirmed = true;
    }

    /**
     * Records the same by word of a peer.
     *
     * @param peer identifies the peer, for the log
     */
    void confirmedByPeer(long asOfNanos, String peer) {
        mPeerAsOfNanos = mConfirmedByPeer ? later(mPeerAsOfNanos, asOfNanos) : asOfNanos;
        mConfirmedByPeer = true;
        confirmed(asOfNanos, peer);
    }

    /** Returns what showed last that the version in force was the newest, for the log. */
    String confirmedBy() {
        return mBy;
    }

    /** Returns whether the version in force has not been confirmed for too long. */
    boolean ended(long nowNanos) {
        return !mConfirmed || nowNanos - mAsOfNanos > mValidNanos;
    }

    /** Returns whether the version in force has been in doubt for less than some time. */
    boolean endedWithin(long nanos, long nowNanos) {
        return mConfirmed && nowNanos - mAsOfNanos - mValidNanos <= nanos;
    }

    /** Returns whether this node should read the store, as its confirmations are missing. */
    boolean storeReadDue(long nowNanos) {
        return !mConfirmed || nowNanos - mAsOfNanos > mStoreReadNanos;
    }

    /** Returns whether confirmations by peers are missing. */
    boolean peersSilent(long nowNanos) {
        return !mConfirmedByPeer || nowNanos - mPeerAsOfNanos > mStoreReadNanos;
    }

    /** Returns whether a confirmation is due, as one or two have been lost. */
    boolean renewalDue(long nowNanos) {
        return !mConfirmed || nowNanos - mAsOfNanos > mRenewalNanos;
    }

    /**
     * Returns how long ago the version in force was known to be the newest, in nanoseconds; {@link
     * Long#MAX_VALUE} if it never was.
     */
    long ageNanos(long nowNanos) {
        return mConfirmed ? Math.max(0, nowNanos - mAsOfNanos) : Long.MAX_VALUE;
    }

    private static long later(long a, long b) {
        return a - b > 0 ? a : b;
    }
}
