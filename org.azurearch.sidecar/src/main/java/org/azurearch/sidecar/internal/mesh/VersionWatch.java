package org.azurearch.sidecar.internal.mesh;

/**
 * Judges whether the configuration in force at this node may be older than the newest accepted one.
 * Confined to one thread.
 */
final class VersionWatch {
    private long mHeldVersion = -1;
    private long mAnnouncedVersion = -1;
    private long mAnnouncedNanos;
    private long mFirstHeldNanos;
    private long mHeldNanos;
    private boolean mConfirmed;

    /**
     * Records that a version has come into force.
     *
     * @param current whether it is known to be the newest, as it was read from the store
     */
    void installed(long version, boolean current, long nowNanos) {
        if (mHeldVersion < 0) {
            mFirstHeldNanos = nowNanos;
        }
        mHeldVersion = version;
        mHeldNanos = nowNanos;
        mConfirmed |= current;
    }

    /** Records that a peer holds a version. */
    void announced(long version, long nowNanos) {
        if (version > Math.max(mHeldVersion, mAnnouncedVersion)) {
            mAnnouncedVersion = version;
            mAnnouncedNanos = nowNanos;
        }
    }

    /**
     * Returns whether the version in force has been held for some time, so that a peer that lacks
     * it has missed its push.
     */
    boolean heldFor(long nanos, long nowNanos) {
        return mHeldVersion >= 0 && nowNanos - mHeldNanos >= nanos;
    }

    /**
     * Returns for how long an announced version that is not in force has been awaited, in
     * nanoseconds; 0 if none is.
     */
    long awaitedNanos(long nowNanos) {
        return mAnnouncedVersion > mHeldVersion ? nowNanos - mAnnouncedNanos : 0;
    }

    /**
     * Returns whether a newer version may exist: in the first moments after a start with the
     * version of a peer, which may be outdated itself, and from the announcement of a version until
     * it is in force. An announced version that does not arrive in time is no longer expected, as
     * this node may be unable to decode it.
     *
     * @param applyNanos the time within which an accepted version is in force at all nodes
     */
    boolean mayBeOutdated(long nowNanos, long applyNanos) {
        boolean justStarted = !mConfirmed && nowNanos - mFirstHeldNanos < applyNanos;
        boolean awaited =
                mAnnouncedVersion > mHeldVersion && nowNanos - mAnnouncedNanos < applyNanos;
        return justStarted || awaited;
    }
}
