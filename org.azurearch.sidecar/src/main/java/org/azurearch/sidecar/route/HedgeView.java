package org.azurearch.sidecar.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.azurearch.sidecar.member.BackendRecord;
import org.jspecify.annotations.Nullable;

/**
 * What a hedged request needs to know of the backend servers of its service: how fast and how busy
 * they are. Computed only when a request is about to be hedged.
 */
public final class HedgeView {
    private final List<EndpointState> mServers = new ArrayList<>();
    private final String mRoute;
    private final long mNowNanos;
    private final double mMeanWorkMillis;
    private final double mOccupancy;

    /**
     * Creates a view of the servers of a service.
     *
     * @param endpoints the endpoints of all services
     * @param service the service
     * @param route the name of the route
     * @param nowNanos the time, on the steady clock
     */
    public HedgeView(
            Collection<EndpointState> endpoints, String service, String route, long nowNanos) {
        mRoute = route;
        mNowNanos = nowNanos;
        double work = 0;
        int known = 0;
        double busy = 0;
        double slots = 0;
        for (EndpointState endpoint : endpoints) {
            if (!endpoint.accepts(service)) {
                continue;
            }
            mServers.add(endpoint);
            work += endpoint.workMillis(route);
            known += endpoint.workMillis(route) > 0 ? 1 : 0;
            busy += endpoint.busy(nowNanos);
            slots += slots(endpoint);
        }
        mMeanWorkMillis = known == 0 ? 0 : work / known;
        mOccupancy = slots == 0 ? 1 : busy / slots;
    }

    /**
     * Returns how long a server works on a request of the route relative to the mean over the
     * servers; 1 if unknown.
     */
    public double serverFactor(EndpointState server) {
        double work = server.workMillis(mRoute);
        return work > 0 && mMeanWorkMillis > 0 ? work / mMeanWorkMillis : 1;
    }

    /**
     * Returns the servers that a second request may go to: those that are not nearly full, and only
     * those of this data centre if the answer is expensive on the links between data centres.
     */
    public List<EndpointState> candidates(double answerBytes) {
        boolean localOnly = EndpointSelector.distanceExpensive(answerBytes);
        return mServers.stream()
                .filter(server -> server.local() || !localOnly)
                .filter(server -> occupancyWith(server) <= HedgePolicy.SERVER_NEAR_FULL)
                .toList();
    }

    /**
     * Returns why there is no candidate.
     *
     * @param tried nodes that were already tried
     */
    public HedgePolicy.Decision whyNone(double answerBytes, Set<String> tried) {
        boolean localOnly = EndpointSelector.distanceExpensive(answerBytes);
        HedgePolicy.Decision reason = HedgePolicy.Decision.NO_SERVER;
        for (EndpointState server : mServers) {
            if (tried.contains(server.node())) {
                continue;
            }
            if (server.local() || !localOnly) {
                return HedgePolicy.Decision.NEAR_FULL;
            }
            reason = HedgePolicy.Decision.DISTANCE;
        }
        return reason;
    }

    private double occupancyWith(EndpointState server) {
        return (server.busy(mNowNanos) + 1) / slots(server);
    }

    /**
     * Returns what is expected of the second server; null if there is none.
     *
     * @param second the server
     * @param rank the rank of the request
     * @param targetMillis the target of its route
     * @param answerBytes the expected size of its answer
     */
    public HedgePolicy.@Nullable Second second(
            @Nullable EndpointState second, int rank, long targetMillis, double answerBytes) {
        if (second == null) {
            return null;
        }
        double own = second.workMillis(mRoute);
        double work = own > 0 ? own : mMeanWorkMillis;
        double expected =
                second.expectedMillis(mRoute, rank, mMeanWorkMillis, answerBytes, mNowNanos);
        double distance =
                second.local() ? 0 : EndpointSelector.distanceFraction(answerBytes) * targetMillis;
        return new HedgePolicy.Second(
                expected,
                Math.max(0, expected - work),
                occupancyWith(second),
                mOccupancy,
                second.local(),
                distance,
                EndpointSelector.distanceExpensive(answerBytes));
    }

    private static double slots(EndpointState endpoint) {
        BackendRecord backend = endpoint.record().backend();
        return backend == null ? 1 : Math.max(1, backend.slots());
    }
}
