package org.azurearch.internal.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.azurearch.lib.NodeId;
import org.azurearch.member.Endpoint;
import org.azurearch.route.Candidates;
import org.azurearch.route.EndpointLoad;
import org.azurearch.route.OutlierPolicy;
import org.azurearch.route.RetryBudget;
import org.azurearch.route.Route;
import org.azurearch.settings.NodeIdentity;
import org.jspecify.annotations.Nullable;

/** The endpoints of a service with their load, as observed by one event loop and confined to it. */
final class ServiceLoads {
    private static final int PERCENT = 100;

    private final NodeIdentity mIdentity;
    private final OutlierPolicy mOutlierPolicy;
    private final RetryBudget mRetryBudget = new RetryBudget();
    private final Map<NodeId, EndpointLoad> mLoads = new HashMap<>();
    private @Nullable List<Endpoint> mEndpoints;
    private Candidates mCandidates = new Candidates(List.of(), List.of(), List.of(), 0);

    ServiceLoads(NodeIdentity identity, OutlierPolicy outlierPolicy) {
        mIdentity = identity;
        mOutlierPolicy = outlierPolicy;
    }

    RetryBudget retryBudget() {
        return mRetryBudget;
    }

    /** Returns the candidates, rebuilt if the endpoints or the slow start of the route changed. */
    Candidates candidates(List<Endpoint> endpoints, Route route) {
        if (endpoints != mEndpoints
                || mCandidates.slowStartMillis() != route.service().slowStart().toMillis()) {
            rebuild(endpoints, route.service().slowStart().toMillis());
            mEndpoints = endpoints;
        }
        return mCandidates;
    }

    /** Records a failure; ejects a failing endpoint unless too many are already ejected. */
    void recordFailure(EndpointLoad load, long nowNanos) {
        if (!load.recordFailure()) {
            return;
        }
        long ejected = mLoads.values().stream().filter(each -> each.ejected(nowNanos)).count();
        if ((ejected + 1) * PERCENT <= (long) mLoads.size() * mOutlierPolicy.maxEjectedPercent()) {
            load.eject(nowNanos);
        }
    }

    private void rebuild(List<Endpoint> endpoints, long slowStartMillis) {
        Map<NodeId, EndpointLoad> before = new HashMap<>(mLoads);
        mLoads.clear();
        List<EndpointLoad> local = new ArrayList<>();
        List<EndpointLoad> near = new ArrayList<>();
        List<EndpointLoad> far = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            EndpointLoad load = reuseOrCreate(before.get(endpoint.node()), endpoint);
            mLoads.put(endpoint.node(), load);
            if (endpoint.dataCentre().equals(mIdentity.dataCentre())) {
                local.add(load);
            } else if (endpoint.region().equals(mIdentity.region())) {
                near.add(load);
            } else {
                far.add(load);
            }
        }
        mCandidates = new Candidates(local, near, far, slowStartMillis);
    }

    private EndpointLoad reuseOrCreate(@Nullable EndpointLoad before, Endpoint endpoint) {
        if (before != null && before.endpoint().nodeIncarnation() == endpoint.nodeIncarnation()) {
            before.update(endpoint);
            return before;
        }
        return new EndpointLoad(endpoint, mOutlierPolicy);
    }
}
