package org.azurearch.route;

import org.azurearch.member.BackendState;
import org.azurearch.member.Endpoint;

/**
 * Load and health of an endpoint as observed by one event loop. Confined to one thread.
 *
 * <p>The load is the number of this event loop's calls in flight plus the calls of other senders.
 * The latter follows from the free slots that the endpoint reports with each answer; its weight
 * falls linearly to 0 as the report ages.
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
     * Creates the load of an endpoint without any observation.
     *
     * @param endpoint the endpoint
     * @param outlierPolicy the policy for ejecting a failing endpoint
     */
    public EndpointLoad(Endpoint endpoint, OutlierPolicy outlierPolicy) {
        mEndpoint = endpoint;
        mOutlierPolicy = outlierPolicy;
    }

    /** Returns the endpoint. */
    public Endpoint endpoint() {
        return mEndpoint;
    }

    /** Replaces the endpoint by a newer version of its data. */
    public void update(Endpoint endpoint) {
        mEndpoint = endpoint;
    }

    /** Returns the number of this event loop's calls in flight. */
    public int inFlight() {
        return mInFlight;
    }

    /** Counts a call as in flight. */
    public void callStarted() {
        mInFlight++;
    }

    /** Counts a call as ended, whatever its outcome. */
    public void callEnded() {
        mInFlight--;
    }

    /**
     * Records the load that the endpoint reported with an answer. Must be called before {@link
     * #callEnded} for the answered call, which the reported load includes.
     *
     * @param freeSlots the number of free slots less the number of queued calls
     * @param nowNanos the time
     */
    public void recordReport(int freeSlots, long nowNanos) {
        mOtherCalls = Math.max(0, mEndpoint.slots() - freeSlots - mInFlight);
        mReportedAtNanos = nowNanos;
        mHasReport = true;
    }

    /** Records a healthy answer, which ends an ejection. */
    public void recordSuccess() {
        mConsecutiveFailures = 0;
        mConsecutiveEjections = 0;
        mEjected = false;
    }

    /**
     * Records that the endpoint failed to answer.
     *
     * @return true if the endpoint is now an outlier, which should be ejected
     */
    public boolean recordFailure() {
        mConsecutiveFailures++;
        return mConsecutiveFailures >= mOutlierPolicy.consecutiveFailures();
    }

    /** Ejects the endpoint for a time that grows with each consecutive ejection. */
    public void eject(long nowNanos) {
        mConsecutiveEjections++;
        mConsecutiveFailures = 0;
        mEjected = true;
        mEjectedUntilNanos = nowNanos + mOutlierPolicy.ejectionNanos(mConsecutiveEjections);
    }

    /** Returns whether the endpoint is ejected. */
    public boolean ejected(long nowNanos) {
        if (mEjected && nowNanos - mEjectedUntilNanos >= 0) {
            mEjected = false;
        }
        return mEjected;
    }

    /** Returns whether the endpoint takes calls, regardless of ejection. */
    public boolean ready() {
        return mEndpoint.state() == BackendState.READY;
    }

    /** Returns the estimated number of calls running or queued at the endpoint. */
    public double estimatedCalls(long nowNanos) {
        if (!mHasReport) {
            return mInFlight;
        }
        double age = (double) (nowNanos - mReportedAtNanos) / REPORT_LIFETIME_NANOS;
        return mInFlight + mOtherCalls * Math.max(0.0, 1.0 - age);
    }

    /** Returns whether the estimated number of calls takes all slots of the endpoint. */
    public boolean saturated(long nowNanos) {
        return estimatedCalls(nowNanos) >= mEndpoint.slots();
    }

    /**
     * Returns the fraction of its full share of calls that the endpoint gets during its slow start.
     *
     * @param slowStartMillis the time over which the share rises to its full value
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
