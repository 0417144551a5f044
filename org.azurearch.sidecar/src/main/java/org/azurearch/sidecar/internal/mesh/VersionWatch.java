package org.azurearch.sidecar.internal.mesh;

/**
 * Judges whether the configuration in force at this node may be older than the newest accepted one.
 * Confined to one thread.
 */
final class VersionWatch {
    /** Silence after which no peer is expected to tell its version, in times to apply one. */
    private static final long MAX_UNHEARD_APPLIES = 4;

    private long mHeldVersion = -1;
    private long mAnnouncedVersion = -1;
    private long mAnnouncedNanos;
    private boolean mAwaiting;
    private long mAwaitedSinceNanos;
    private long mFirstHeldNanos;
    private long mHeldNanos;
    private boolean mConfirmed;
    private boolean mHeard;
    private long mHeardNanos;

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
        mAwaiting = mAnnouncedVersion > version;
        mAwaitedSinceNanos = mAnnouncedNanos;
        mConfirmed |= current;
    }

    /** Records that a peer has told which version it holds, newer or not. */
    void heard(long nowNanos) {
        mHeard = true;
        mHeardNanos = nowNanos;
    }

    /**
     * Returns for how long no peer has told its version, in nanoseconds; 0 if none has done so yet.
     */
    long unheardNanos(long nowNanos) {
        return mHeard ? nowNanos - mHeardNanos : 0;
    }

    /** Records that a peer holds a version. */
    void announced(long version, long nowNanos) {
        if (version > Math.max(mHeldVersion, mAnnouncedVersion)) {
            mAnnouncedVersion = version;
            mAnnouncedNanos = nowNanos;
            mAwaitedSinceNanos = mAwaiting ? mAwaitedSinceNanos : nowNanos;
            mAwaiting = true;
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
     * Returns for how long this node has known of versions newer than the one in force, in
     * nanoseconds; 0 if it knows of none.
     */
    long awaitedNanos(long nowNanos) {
        return mAwaiting ? nowNanos - mAwaitedSinceNanos : 0;
    }

    /** Returns whether a version that was announced is not in force yet, and still expected. */
    boolean awaitsVersion() {
        return mAwaiting;
    }

    /** Records that the version in force was the newest one of the store at a time. */
    void newestOfStore(long asOfNanos) {
        mAwaiting &= asOfNanos - mAnnouncedNanos <= 0;
    }

    /** Records that a version has arrived that this node cannot decode. */
    void undecodable(long version) {
        mAwaiting &= mAnnouncedVersion > version;
    }

    /**
     * Returns how long to wait before a newer version is pulled, in nanoseconds.
     *
     * @param delay wait after this node first knew of a version that it lacks, as its push may be
     *     under way
     * @param interval shortest wait
     */
    long pullDelayNanos(long delay, long interval, long nowNanos) {
        return Math.max(interval, delay - awaitedNanos(nowNanos));
    }

    /**
     * Returns whether a newer version may exist: in the first moments after a start with the
     * version of a peer, which may be outdated itself, from the announcement of a version until it
     * is in force, and while no peer has told its version for some time. An announced version that
     * does not arrive in time is no longer expected, as this node may be unable to decode it, nor
     * is a peer after a longer silence, as this node may be the only one.
     *
     * @param applyNanos the time within which an accepted version is in force at all nodes
     */
    boolean mayBeOutdated(long nowNanos, long applyNanos) {
        boolean justStarted = !mConfirmed && nowNanos - mFirstHeldNanos < applyNanos;
        boolean awaited =
                mAnnouncedVersion > mHeldVersion && nowNanos - mAnnouncedNanos < applyNanos;
        long unheardNanos = unheardNanos(nowNanos);
        boolean unheard =
                unheardNanos >= applyNanos / 2 && unheardNanos < MAX_UNHEARD_APPLIES * applyNanos;
        return justStarted || awaited || unheard;
    }
}
