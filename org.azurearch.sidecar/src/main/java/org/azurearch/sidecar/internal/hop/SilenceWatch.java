package org.azurearch.sidecar.internal.hop;

/**
 * Decides when the peer at the other end of a connection is pinged, suspected and given up because
 * nothing arrives from it. Both ends of a connection use it, since each may hold work for the
 * other. Has no I/O and no clock. Confined to one thread.
 */
final class SilenceWatch {
    /**
     * The limits of a watch, in nanoseconds.
     *
     * @param pingAfter silence before a ping while a peer is waited for
     * @param idlePingAfter silence before a ping otherwise, so that a dead connection is found
     *     before it is needed
     * @param suspectAfter wait for a ping's reply, normally one round trip, before the peer is
     *     suspected
     * @param timeout wait for a ping's reply before the peer is given up
     */
    record Limits(long pingAfter, long idlePingAfter, long suspectAfter, long timeout) {
        Limits {
            if (pingAfter <= 0 || idlePingAfter < pingAfter || timeout < suspectAfter) {
                throw new IllegalArgumentException("limits of silence are out of order");
            }
        }
    }

    /** What to do about the peer. */
    enum Step {
        /** Nothing. */
        NONE,
        /** Send it a ping. */
        PING,
        /** Close the connection. */
        GIVE_UP
    }

    /**
     * Most time between two ticks that counts as silence of the peer. What goes beyond is a pause
     * of this process, in which it read nothing itself.
     */
    static final long MAX_TICK_NANOS = 250_000_000L;

    private final Limits mLimits;
    private long mTickNanos;
    private long mWaitedNanos;
    private boolean mPinged;

    SilenceWatch(Limits limits, long nowNanos) {
        mLimits = limits;
        mTickNanos = nowNanos;
    }

    /**
     * Advances the watch; called a few times a second.
     *
     * @param nowNanos the time on the steady clock
     * @param lastReadNanos when bytes arrived last
     * @param awaited whether work under way depends on the peer
     */
    Step tick(long nowNanos, long lastReadNanos, boolean awaited) {
        long sinceTick = Math.min(nowNanos - mTickNanos, MAX_TICK_NANOS);
        mTickNanos = nowNanos;
        long allowed = awaited ? mLimits.pingAfter() : mLimits.idlePingAfter();
        if (nowNanos - lastReadNanos < allowed) {
            mPinged = false;
            mWaitedNanos = 0;
            return Step.NONE;
        }
        if (!mPinged) {
            mPinged = true;
            return Step.PING;
        }
        mWaitedNanos += sinceTick;
        return mWaitedNanos > mLimits.timeout() ? Step.GIVE_UP : Step.NONE;
    }

    /** Returns whether a ping's reply is late. */
    boolean suspected() {
        return mWaitedNanos > mLimits.suspectAfter();
    }
}
