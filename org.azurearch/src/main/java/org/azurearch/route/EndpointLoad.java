package org.azurearch.route;

import org.azurearch.member.BackendState;
import org.azurearch.member.Endpoint;

/**
 * What one event loop knows of the load and the health of an endpoint. Confined to one thread.
 *
 * <p>The load is the number of its own calls in flight plus the calls of others, which the endpoint
 * reports with each answer; that part loses weight as the report ages.
 */
public final class EndpointLoad {
    private static final long REPORT_LIFETIME_NANOS = 1_000_000_000L;
    private static final double MIN_SLOW_START_FRACTION = 0.1;

    private final OutlierPolicy mOutlierPolicy;
    private Endpoint mEndpoint;
    private int mInFlight;
    private int mOtherCalls;
    private long mReportedAtNanos;
    private boolean mHasReport;
    private int mConsecutiveFailures;
    private int mConsecutiveEjections;
    private long mEjectedUntilNanos;
    private boolean mEjected;

    /**
     * Creates the load of an endpoint that nothing is known of.
     *
     * @param endpoint the endpoint
     * @param outliers when a failing endpoint is ejected
     */
    public EndpointLoad(Endpoint endpoint, OutlierPolicy outliers) {
        mEndpoint = endpoint;
        mOutlierPolicy = outliers;
    }

    /** Returns the endpoint. */
    public Endpoint endpoint() {
        return mEndpoint;
    }

    /** Replaces the endpoint by a later record of the same one. */
    public void update(Endpoint endpoint) {
        mEndpoint = endpoint;
    }

    /** Returns this event loop's calls in flight. */
    public int inFlight() {
        return mInFlight;
    }

    /** Counts a call that is sent. */
    public void callStarted() {
        mInFlight++;
    }

    /** Counts a call that ended, however it ended. */
    public void callEnded() {
        mInFlight--;
    }

    /**
     * Takes the load that the endpoint reported with an answer, while that call still counts as in
     * flight.
     *
     * @param freeSlots slots that were free; negative when calls waited
     * @param nowNanos the time
     */
    public void recordReport(int freeSlots, long nowNanos) {
        mOtherCalls = Math.max(0, mEndpoint.slots() - freeSlots - mInFlight);
        mReportedAtNanos = nowNanos;
        mHasReport = true;
    }

    /** Notes that the endpoint answered as a healthy one does. */
    public void recordSuccess() {
        mConsecutiveFailures = 0;
        mConsecutiveEjections = 0;
        mEjected = false;
    }

    /**
     * Notes that the endpoint failed to answer.
     *
     * @return whether this made it an outlier that should be ejected
     */
    public boolean recordFailure() {
        mConsecutiveFailures++;
        return mConsecutiveFailures >= mOutlierPolicy.consecutiveFailures();
    }

    /** Ejects the endpoint for a time that grows with each ejection in a row. */
    public void eject(long nowNanos) {
        mConsecutiveEjections++;
        mConsecutiveFailures = 0;
        mEjected = true;
        mEjectedUntilNanos = nowNanos + mOutlierPolicy.ejectionNanos(mConsecutiveEjections);
    }

    /** Says whether the endpoint is ejected. */
    public boolean ejected(long nowNanos) {
        if (mEjected && nowNanos - mEjectedUntilNanos >= 0) {
            mEjected = false;
        }
        return mEjected;
    }

    /** Says whether the endpoint takes calls, ejection aside. */
    public boolean ready() {
        return mEndpoint.state() == BackendState.READY;
    }

    /** Returns the estimated number of calls that the endpoint holds. */
    public double estimatedCalls(long nowNanos) {
        if (!mHasReport) {
            return mInFlight;
        }
        double age = (double) (nowNanos - mReportedAtNanos) / REPORT_LIFETIME_NANOS;
        return mInFlight + mOtherCalls * Math.max(0.0, 1.0 - age);
    }

    /** Says whether the endpoint is believed to have no free slot. */
    public boolean saturated(long nowNanos) {
        return estimatedCalls(nowNanos) >= mEndpoint.slots();
    }

    /**
     * Returns the part of its full share that the endpoint may take while it is cold.
     *
     * @param slowStartMillis the time over which it comes to its full share
     * @param wallMillis the time, in milliseconds since the epoch
     * @return more than 0, at most 1
     */
    public double slowStartFraction(long slowStartMillis, long wallMillis) {
        long age = wallMillis - mEndpoint.readySinceMillis();
        if (slowStartMillis <= 0 || age >= slowStartMillis) {
            return 1.0;
        }
        return Math.max(MIN_SLOW_START_FRACTION, (double) age / slowStartMillis);
    }
}
