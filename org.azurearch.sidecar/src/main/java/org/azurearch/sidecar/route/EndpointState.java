package org.azurearch.sidecar.route;

import java.util.HashMap;
import java.util.Map;
import org.azurearch.sidecar.admit.StartRate;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.NodeRecord;
import org.jspecify.annotations.Nullable;

/** This node's view of one backend server and the node in front of it. Confined to one thread. */
public final class EndpointState {
    /** Weight of a new outcome in the moving average: about the last ten count. */
    private static final double NEW_WEIGHT = 0.1;

    /** Load reports and observed failures lose weight with age; after this time they have none. */
    private static final double REPORT_LIFETIME_NANOS = 2e9;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double MILLIS_PER_SECOND = 1e3;

    /** A backend server that has just started takes about twice as long. */
    private static final double COLD_FACTOR = 2;

    /** Work takes longer by this fraction when all slots are busy; this favours an even load. */
    private static final double CROWDING_WEIGHT = 0.15;

    /** Limit of the routes with observed work; a VM's callers use a few at a time. */
    private static final int MAX_ROUTES = 256;

    /** Weight of a new delay in the moving average; the last three count most. */
    private static final double DELAY_WEIGHT = 0.3;

    private final String mNode;
    private final boolean mLocal;
    private NodeRecord mRecord;
    private boolean mConnected;
    private final Map<String, Double> mWorkMillisByRoute = new HashMap<>();
    private final LinkEstimate mLink = new LinkEstimate();
    private final int[] mOwnRequests = new int[EndpointLoad.RANK_COUNT];
    private int[] mOwnRequestsAtReport = new int[EndpointLoad.RANK_COUNT];
    private EndpointLoad mLoad = EndpointLoad.UNKNOWN;
    private long mReportedNanos;
    private double mDelayMillis;
    private long mDelayedNanos;
    private double mFailureRate;
    private long mWarmedUpNanos;
    private long mLastFailureNanos;
    private String mExcludedInstance = "";
    private long mExcludedStartMillis;

    /**
     * Creates the state of an endpoint.
     *
     * @param record the node in front of it
     * @param local whether it is in this node's data centre
     */
    public EndpointState(NodeRecord record, boolean local) {
        mNode = record.node();
        mRecord = record;
        mLocal = local;
    }

    /** Returns the name of the node. */
    public String node() {
        return mNode;
    }

    /** Returns the node's record. */
    public NodeRecord record() {
        return mRecord;
    }

    /** Returns whether the endpoint is in this node's data centre. */
    public boolean local() {
        return mLocal;
    }

    /**
     * Replaces the record; what was observed of an earlier run of the backend server is dropped.
     *
     * @param record the record
     * @param nowNanos the time, on the steady clock
     */
    public void record(NodeRecord record, long nowNanos) {
        BackendRecord before = mRecord.backend();
        BackendRecord now = record.backend();
        mRecord = record;
        if (now != null && now.leaving()) {
            excludeRun(now);
        }
        if (now != null && (before == null || !before.sameRun(now))) {
            mFailureRate = 0;
            mLoad = EndpointLoad.UNKNOWN;
            mWorkMillisByRoute.clear();
            mWarmedUpNanos = nowNanos + now.warmingMillis() * NANOS_PER_MILLI;
        }
    }

    /**
     * Excludes a run of the backend server, which has announced that it is leaving. Its node may
     * report it as ready again after a restart, by a late heartbeat.
     */
    public void excludeRun(BackendRecord backend) {
        mExcludedInstance = backend.instance();
        mExcludedStartMillis = backend.startedMillis();
    }

    private boolean excluded(BackendRecord backend) {
        return backend.instance().equals(mExcludedInstance)
                && backend.startedMillis() <= mExcludedStartMillis;
    }

    /** Returns whether the node of the endpoint can be reached. */
    public boolean connected() {
        return mConnected;
    }

    /** Sets whether the node can be reached. */
    public void setConnected(boolean connected) {
        mConnected = connected;
    }

    /** Returns whether requests for its service may be sent to the endpoint. */
    public boolean usable() {
        BackendRecord backend = mRecord.backend();
        return mConnected
                && !mRecord.leaving()
                && backend != null
                && backend.ready()
                && !excluded(backend);
    }

    /** Returns whether requests for a service may be sent to the endpoint. */
    public boolean accepts(String service) {
        BackendRecord backend = mRecord.backend();
        return usable() && backend != null && backend.service().equals(service);
    }

    /** Returns whether the backend server has just started and is slow. */
    public boolean warming(long nowNanos) {
        return mWarmedUpNanos - nowNanos > 0;
    }

    /** Counts a request of a rank that this node sends to the endpoint. */
    public void requestStarted(int rank) {
        mOwnRequests[EndpointLoad.rankIndex(rank)]++;
    }

    /** Removes a request of a rank from the count, as it has ended. */
    public void requestEnded(int rank) {
        mOwnRequests[EndpointLoad.rankIndex(rank)]--;
    }

    /** Stores a load report. */
    public void observeLoad(EndpointLoad load, long nowNanos) {
        mLoad = load;
        mReportedNanos = nowNanos;
        mOwnRequestsAtReport = mOwnRequests.clone();
        mLink.observe(load, nowNanos);
    }

    /** Returns whether the link of the endpoint's VM is limited. */
    public boolean linkLimited() {
        return mLink.limited();
    }

    /** Adds the size of the answer that a request sent to the endpoint will have. */
    public void answerExpected(double bytes) {
        mLink.answerExpected(bytes);
    }

    /** Returns whether a run of the backend server is still the present one. */
    private boolean present(@Nullable BackendRecord run) {
        BackendRecord backend = mRecord.backend();
        return run != null && backend != null && run.sameRun(backend);
    }

    /**
     * Stores how long a run of the backend server works on a request of a route; ignored if another
     * run has taken its place.
     */
    public void observeWork(@Nullable BackendRecord run, String route, double workMillis) {
        if (!present(run)) {
            return;
        }
        if (mWorkMillisByRoute.size() >= MAX_ROUTES) {
            mWorkMillisByRoute.clear();
        }
        mWorkMillisByRoute.put(route, workMillis);
    }

    /** Returns whether requests waited for a slot at the last load report. */
    public boolean requestsWait() {
        return mLoad.waitingUpTo(EndpointLoad.RANK_COUNT - 1) > 0;
    }

    /**
     * Stores by how much an attempt took longer than the work and the wait for a slot. On a VM
     * whose processor is saturated, messages wait while the backend server has free slots.
     */
    public void observeDelay(double millis, long nowNanos) {
        mDelayMillis += DELAY_WEIGHT * (Math.max(0, millis) - mDelayMillis);
        mDelayedNanos = nowNanos;
    }

    /**
     * Adds the outcome of a request at a run of the backend server to the failure rate; ignored if
     * another run has taken its place.
     */
    public void observeOutcome(@Nullable BackendRecord run, boolean failed, long nowNanos) {
        if (!present(run)) {
            return;
        }
        mFailureRate += NEW_WEIGHT * ((failed ? 1 : 0) - mFailureRate);
        if (failed) {
            mLastFailureNanos = nowNanos;
        }
    }

    /**
     * Returns the fraction of requests that the endpoint fails; it decays while no failure is seen.
     */
    public double failureRate(long nowNanos) {
        double own = mFailureRate * freshness(nowNanos, mLastFailureNanos);
        return Math.max(own, mLoad.failurePercent() / 100.0 * freshness(nowNanos, mReportedNanos));
    }

    /** Returns how long the backend server works on a request of a route; 0 if unknown. */
    public double workMillis(String route) {
        return mWorkMillisByRoute.getOrDefault(route, 0.0);
    }

    /**
     * Returns how long a further request is expected to take at the endpoint, in milliseconds.
     * Waiting requests that are less urgent do not count, since the new one precedes them.
     *
     * @param route the name of its route
     * @param rank the rank of the request
     * @param defaultWorkMillis the work of a request if none was observed at the endpoint for the
     *     route
     * @param answerBytes the expected size of its answer
     */
    public double expectedMillis(
            String route, int rank, double defaultWorkMillis, double answerBytes, long nowNanos) {
        BackendRecord backend = mRecord.backend();
        double observedWork = workMillis(route);
        double work = observedWork > 0 ? observedWork : defaultWorkMillis;
        double meanWork = mLoad.workMillis() > 0 ? mLoad.workMillis() : work;
        double slots = backend == null ? 1 : Math.max(1, backend.slots());
        double busy = busy(rank, nowNanos);
        double excess = Math.max(0, busy + 1 - slots);
        double crowding = Math.min(1, busy / slots);
        work *= mWarmedUpNanos - nowNanos > 0 ? COLD_FACTOR : 1;
        return work * (1 + CROWDING_WEIGHT * crowding)
                + meanWork * excess / slots
                + mDelayMillis * freshness(nowNanos, mDelayedNanos)
                + startWaitMillis(backend, nowNanos)
                + mLink.expectedMillis(answerBytes, nowNanos);
    }

    /** Returns the number of requests that it runs or that wait for it, of all ranks. */
    public double busy(long nowNanos) {
        return busy(EndpointLoad.RANK_COUNT - 1, nowNanos);
    }

    /** Returns the number of requests that precede a new one of a rank. */
    private double busy(int rank, long nowNanos) {
        double reported =
                (mLoad.running() + mLoad.waitingUpTo(rank)) * freshness(nowNanos, mReportedNanos);
        int own = sumUpTo(rank, mOwnRequests);
        return Math.max(own, reported + own - sumUpTo(rank, mOwnRequestsAtReport));
    }

    /** Returns whether a further request of any rank is expected to start at once. */
    public boolean hasFreeSlot(long nowNanos) {
        BackendRecord backend = mRecord.backend();
        return backend != null && busy(nowNanos) + 1 <= backend.slots();
    }

    /**
     * Returns how long a further request waits for its turn within the limit that the backend
     * server names. The reported wait passes with time, so that a server is asked again as soon as
     * it takes a request; each request sent since the report takes one turn.
     */
    private double startWaitMillis(@Nullable BackendRecord backend, long nowNanos) {
        if (backend == null || backend.limitPerSecond() < 0) {
            return 0;
        }
        double period =
                MILLIS_PER_SECOND / Math.max(StartRate.MIN_PER_SECOND, backend.limitPerSecond());
        double ageMillis = (nowNanos - mReportedNanos) / (double) NANOS_PER_MILLI;
        int last = EndpointLoad.RANK_COUNT - 1;
        int sentSince = sumUpTo(last, mOwnRequests) - sumUpTo(last, mOwnRequestsAtReport);
        return Math.max(0, mLoad.startWaitMillis() - ageMillis) + Math.max(0, sentSince) * period;
    }

    private static int sumUpTo(int rank, int[] counts) {
        int sum = 0;
        for (int i = 0; i <= EndpointLoad.rankIndex(rank); i++) {
            sum += counts[i];
        }
        return sum;
    }

    private static double freshness(long nowNanos, long thenNanos) {
        return Math.max(0, 1 - (nowNanos - thenNanos) / REPORT_LIFETIME_NANOS);
    }
}
