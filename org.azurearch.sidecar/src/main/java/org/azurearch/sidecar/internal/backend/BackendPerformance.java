package org.azurearch.sidecar.internal.backend;

import java.util.concurrent.TimeUnit;
import org.azurearch.sidecar.admit.RunningAges;
import org.azurearch.sidecar.admit.WorkEstimate;
import org.azurearch.sidecar.call.HopCall;

/**
 * How long a run of the backend server works on requests and how many it fails, as attempts show
 * it. Confined to one event loop.
 */
final class BackendPerformance {
    /**
     * Converts the mean age of running requests to an estimate of the current work time. In steady
     * state, running requests are on average a little over half done. A mean age of three times
     * that cannot be chance: the backend server has become slow, which this estimate shows before
     * any answer arrives. A lower threshold diverted calls to other data centres at normal load.
     */
    private static final double AGE_FACTOR = 0.6;

    /** Weight of a new outcome in the failure rate, which covers about the last 20 outcomes. */
    private static final double FAILURE_RATE_WEIGHT = 0.05;

    private static final double PERCENT = 100.0;

    private final WorkEstimate mWorkEstimate;
    private final RunningAges mRunningAges = new RunningAges();
    private double mFailureRate;

    BackendPerformance() {
        this(new WorkEstimate());
    }

    private BackendPerformance(WorkEstimate workEstimate) {
        mWorkEstimate = workEstimate;
    }

    /**
     * Returns the performance of a run that has not run a request yet. It is expected to work as
     * long on a request as this one, which is of the same service.
     */
    BackendPerformance ofNextRun() {
        return new BackendPerformance(mWorkEstimate);
    }

    /** Forgets the failures, as the backend server was out of reach and is back. */
    void forgetFailures() {
        mFailureRate = 0;
    }

    /** Records that a request was sent. */
    void sent(long nowNanos) {
        mRunningAges.started(nowNanos);
    }

    /** Records that a request runs no longer, or that its end is not awaited any more. */
    void returned(long sentNanos) {
        mRunningAges.ended(sentNanos);
    }

    /**
     * Records the outcome of an attempt.
     *
     * @param failed whether the backend server failed it
     * @param workMillis how long it took; 0 if that tells nothing
     */
    void ended(HopCall call, boolean failed, double workMillis) {
        mFailureRate += FAILURE_RATE_WEIGHT * ((failed ? 1 : 0) - mFailureRate);
        if (workMillis > 0) {
            mWorkEstimate.observe(call.route(), workMillis);
        }
    }

    /** Returns the percentage of recent attempts that failed. */
    int failurePercent() {
        return (int) (mFailureRate * PERCENT);
    }

    /** Returns the current work time over all routes, in milliseconds. */
    double meanMillis() {
        return mWorkEstimate.meanMillis() * slowdownFactor();
    }

    /** Returns the current work time of calls of the same route, in milliseconds. */
    double workMillis(HopCall call) {
        return expectedMillis(call) * slowdownFactor();
    }

    /** Returns the work time of calls of the same route in the past, in milliseconds. */
    double expectedMillis(HopCall call) {
        long targetMillis =
                Math.max(1, TimeUnit.NANOSECONDS.toMillis(call.targetNanos() - System.nanoTime()));
        return mWorkEstimate.expectedMillis(call.route(), targetMillis);
    }

    /** Returns the ratio of the current work time to that of past answers, at least 1. */
    private double slowdownFactor() {
        double mean = mWorkEstimate.meanMillis();
        double now = AGE_FACTOR * mRunningAges.meanMillis(System.nanoTime());
        return mean > 0 ? Math.max(1, now / mean) : 1;
    }
}
