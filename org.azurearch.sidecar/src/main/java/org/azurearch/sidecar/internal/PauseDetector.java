package org.azurearch.sidecar.internal;

import org.azurearch.events.EventLog;
import org.azurearch.sidecar.SidecarEvent;

/**
 * Detects that the process was suspended or got no processor. What it reads right afterwards may
 * have waited that long, so that its deadline may have passed and its sender may have given up.
 * Confined to one thread.
 */
public final class PauseDetector {
    /** Shortest gap between two ticks that counts as a pause; several times their interval. */
    private static final long MIN_PAUSE_NANOS = 500_000_000L;

    /**
     * Shortest gap after which the sender of what is read may have given up in the meantime; ticks
     * of an idle process come a few milliseconds late at most.
     */
    private static final long MIN_LATE_NANOS = 200_000_000L;

    /**
     * Time after a pause within which what is read counts as delayed: connections that were opened
     * in the meantime are accepted first and read in a later turn.
     */
    private static final long SETTLE_NANOS = 50_000_000L;

    /** Time after a gap within which a process may still be reading what waited meanwhile. */
    private static final long LATE_SETTLE_NANOS = 500_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private long mTickNanos;
    private long mTickWallMillis;
    private long mPauseNanos;
    private long mPauseEndNanos;
    private long mLateEndNanos;

    /**
     * Creates a detector.
     *
     * @param nowNanos the time on the steady clock
     * @param wallMillis the time of day, which goes on while the VM is suspended
     */
    public PauseDetector(long nowNanos, long wallMillis) {
        mTickNanos = nowNanos;
        mTickWallMillis = wallMillis;
        mPauseEndNanos = nowNanos - SETTLE_NANOS;
        mLateEndNanos = nowNanos - LATE_SETTLE_NANOS;
    }

    /** Records that the process is running; called a few times a second. */
    public void tick(long nowNanos, long wallMillis) {
        long gap = gapNanos(nowNanos, wallMillis);
        if (gap >= MIN_PAUSE_NANOS) {
            mPauseNanos = gap;
            mPauseEndNanos = nowNanos;
            EventLog.log(SidecarEvent.PAUSED, gap / NANOS_PER_MILLI);
        }
        if (gap >= MIN_LATE_NANOS) {
            if (gap < MIN_PAUSE_NANOS) {
                EventLog.log(SidecarEvent.LATE, gap / NANOS_PER_MILLI);
            }
            mLateEndNanos = nowNanos;
        }
        mTickNanos = nowNanos;
        mTickWallMillis = wallMillis;
    }

    /** Returns how long what is read now may have waited for this process, in nanoseconds. */
    public long delayNanos(long nowNanos, long wallMillis) {
        long gap = gapNanos(nowNanos, wallMillis);
        if (gap >= MIN_PAUSE_NANOS) {
            return gap;
        }
        return nowNanos - mPauseEndNanos < SETTLE_NANOS ? mPauseNanos : 0;
    }

    /** Returns whether what is read now may have waited so long that its sender has given up. */
    public boolean late(long nowNanos, long wallMillis) {
        return gapNanos(nowNanos, wallMillis) >= MIN_LATE_NANOS
                || nowNanos - mLateEndNanos < LATE_SETTLE_NANOS;
    }

    private long gapNanos(long nowNanos, long wallMillis) {
        return Math.max(nowNanos - mTickNanos, (wallMillis - mTickWallMillis) * NANOS_PER_MILLI);
    }
}
