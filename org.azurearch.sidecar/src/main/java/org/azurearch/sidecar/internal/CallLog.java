package org.azurearch.sidecar.internal;

import org.azurearch.events.EventLog;
import org.azurearch.lib.TokenBucket;
import org.azurearch.sidecar.SidecarEvent;

/**
 * Logs calls at a bounded rate: every failure and one in a hundred answers. Lines over the limit
 * are counted and the count is logged. Confined to one event loop.
 */
public final class CallLog {
    /** A line takes about 10 microseconds of processor time. */
    private static final double LINES_PER_SECOND = 40;

    private static final double BURST = 80;
    private static final int ANSWERED_SAMPLE = 100;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long REPORT_NANOS = 1_000_000_000L;

    private final TokenBucket mTokens = new TokenBucket(BURST);
    private long mLastNanos = System.nanoTime();
    private long mReportedNanos = mLastNanos;
    private int mAnswered;
    private long mDropped;

    /** Logs a failure if the rate limit allows. */
    public void failure(SidecarEvent event, Object... arguments) {
        if (acquireLine()) {
            EventLog.log(event, arguments);
        }
    }

    /** Counts an answer and returns whether to log it. */
    public boolean sampleAnswer() {
        return mAnswered++ % ANSWERED_SAMPLE == 0 && acquireLine();
    }

    private boolean acquireLine() {
        long now = System.nanoTime();
        mTokens.add((now - mLastNanos) / NANOS_PER_SECOND * LINES_PER_SECOND, BURST);
        mLastNanos = now;
        if (!mTokens.tryTake()) {
            mDropped++;
            return false;
        }
        if (mDropped > 0 && now - mReportedNanos > REPORT_NANOS) {
            EventLog.log(SidecarEvent.CALL_LINES_DROPPED, mDropped);
            mDropped = 0;
            mReportedNanos = now;
        }
        return true;
    }
}
