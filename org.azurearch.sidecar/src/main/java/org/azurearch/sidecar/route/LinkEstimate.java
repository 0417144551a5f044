package org.azurearch.sidecar.route;

/**
 * This node's view of the link of another VM, over which the answers of its backend server leave.
 * Confined to one thread.
 */
final class LinkEstimate {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MEGABIT_MILLI = 1_000;

    private double mMbps = Double.POSITIVE_INFINITY;
    private double mReportedMillis;
    private long mReportedNanos;
    private double mBytesSinceReport;

    /** Stores a load report, which includes the answers that this node awaits. */
    void observe(EndpointLoad load, long nowNanos) {
        mMbps = load.linkMbps();
        mReportedMillis = load.linkWaitMillis();
        mReportedNanos = nowNanos;
        mBytesSinceReport = 0;
    }

    /** Returns whether the link is known to be limited. */
    boolean limited() {
        return mMbps < Double.POSITIVE_INFINITY;
    }

    /** Adds the expected answer to a request that this node has sent since the report. */
    void answerExpected(double bytes) {
        mBytesSinceReport += bytes;
    }

    /**
     * Returns how long a further answer is expected to take from when it is ready, in milliseconds.
     * The reported wait passes with time.
     */
    double expectedMillis(double answerBytes, long nowNanos) {
        if (!limited()) {
            return 0;
        }
        double waitMillis =
                mReportedMillis
                        + sendMillis(mBytesSinceReport)
                        - (nowNanos - mReportedNanos) / NANOS_PER_MILLI;
        return Math.max(0, waitMillis) + sendMillis(answerBytes);
    }

    private double sendMillis(double bytes) {
        return bytes * BITS_PER_BYTE / (mMbps * BITS_PER_MEGABIT_MILLI);
    }
}
