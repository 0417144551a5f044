package org.azurearch.sidecar.route;

import java.util.HashMap;
import java.util.Map;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.NodeRecord;

/** What this node knows of one backend server and the node before it. Confined to one thread. */
public final class EndpointState {
    /** Weight of a new outcome: about the last ten count. */
    private static final double NEW_WEIGHT = 0.1;

    /** A report of the load is trusted less with age; after this time it says nothing. */
    private static final double REPORT_LIFETIME_NANOS = 2e9;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** A backend server that has just started takes about twice as long. */
    private static final double COLD_FACTOR = 2;

    /** Backend servers slow down when nearly full; an even load is a little better. */
    private static final double CROWDING_WEIGHT = 0.15;

    /** Routes held at the most; a VM's callers use a few at a time. */
    private static final int MAX_ROUTES = 256;

    private final String mNode;
    private final boolean mLocal;
    private NodeRecord mRecord;
    private boolean mConnected;
    private final Map<String, Double> mWorkMillisByRoute = new HashMap<>();
    private final int[] mOwnRequests = new int[EndpointLoad.RANK_COUNT];
    private int[] mOwnRequestsAtReport = new int[EndpointLoad.RANK_COUNT];
    private EndpointLoad mLoad = EndpointLoad.UNKNOWN;
    private long mReportedNanos;
    private double mFailureRate;
    private long mWarmedUpNanos;
    private long mLastFailureNanos;

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

    /** Says whether the endpoint is in this node's data centre. */
    public boolean local() {
        return mLocal;
    }

    /**
     * Takes a newer record; another run of the backend server begins without history.
     *
     * @param record the record
     * @param nowNanos the time, on the steady clock
     */
    public void record(NodeRecord record, long nowNanos) {
        BackendRecord before = mRecord.backend();
        BackendRecord now = record.backend();
        mRecord = record;
        if (now != null && (before == null || !before.instance().equals(now.instance()))) {
            mFailureRate = 0;
            mLoad = EndpointLoad.UNKNOWN;
            mWorkMillisByRoute.clear();
            mWarmedUpNanos = nowNanos + now.warmingMillis() * NANOS_PER_MILLI;
        }
    }

    /** Says whether the node can be reached. */
    public void connected(boolean connected) {
        mConnected = connected;
    }

    /** Says whether requests for its service may go there. */
    public boolean usable() {
        BackendRecord backend = mRecord.backend();
        return mConnected && !mRecord.leaving() && backend != null && backend.ready();
    }

    /** Says whether requests for a service may go there. */
    public boolean accepts(String service) {
        BackendRecord backend = mRecord.backend();
        return usable() && backend != null && backend.service().equals(service);
    }

    /** Counts a request of a rank that is sent there. */
    public void requestStarted(int rank) {
        mOwnRequests[EndpointLoad.rankIndex(rank)]++;
    }

    /** Counts a request of a rank that ended there. */
    public void requestEnded(int rank) {
        mOwnRequests[EndpointLoad.rankIndex(rank)]--;
    }

    /** Takes a report of the load. */
    public void observeLoad(EndpointLoad load, long nowNanos) {
        mLoad = load;
        mReportedNanos = nowNanos;
        mOwnRequestsAtReport = mOwnRequests.clone();
    }

    /** Takes note of how long the backend server works on a request of a route. */
    public void observeWork(String route, double workMillis) {
        if (mWorkMillisByRoute.size() >= MAX_ROUTES) {
            mWorkMillisByRoute.clear();
        }
        mWorkMillisByRoute.put(route, workMillis);
    }

    /** Takes the outcome of a request: whether the endpoint failed. */
    public void observeOutcome(boolean failed, long nowNanos) {
        mFailureRate += NEW_WEIGHT * ((failed ? 1 : 0) - mFailureRate);
        if (failed) {
            mLastFailureNanos = nowNanos;
        }
    }

    /** Returns the part of requests that fail there, fading while none is seen. */
    public double failureRate(long nowNanos) {
        double own = mFailureRate * freshness(nowNanos, mLastFailureNanos);
        return Math.max(own, mLoad.failurePercent() / 100.0 * freshness(nowNanos, mReportedNanos));
    }

    /** Returns how long its backend server works on a request of a route; 0 if not known. */
    public double workMillis(String route) {
        return mWorkMillisByRoute.getOrDefault(route, 0.0);
    }

    /**
     * Returns how long a further request is expected to take there, in milliseconds. Less urgent
     * ones that wait there do not count, as it goes before them.
     *
     * @param route the name of its route
     * @param rank the rank of the request
     * @param defaultWorkMillis the work of a request while nothing is known of the endpoint
     */
    public double expectedMillis(String route, int rank, double defaultWorkMillis, long nowNanos) {
        BackendRecord backend = mRecord.backend();
        int slots = Math.max(1, backend == null ? 1 : backend.slots());
        double observedWork = workMillis(route);
        double work = observedWork > 0 ? observedWork : defaultWorkMillis;
        double meanWork = mLoad.workMillis() > 0 ? mLoad.workMillis() : work;
        double reported =
                (mLoad.running() + mLoad.waitingUpTo(rank)) * freshness(nowNanos, mReportedNanos);
        int own = sumUpTo(rank, mOwnRequests);
        double busy = Math.max(own, reported + own - sumUpTo(rank, mOwnRequestsAtReport));
        double excess = Math.max(0, busy + 1 - slots);
        double crowding = Math.min(1, busy / slots);
        work *= mWarmedUpNanos - nowNanos > 0 ? COLD_FACTOR : 1;
        return work * (1 + CROWDING_WEIGHT * crowding) + meanWork * excess / slots;
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
