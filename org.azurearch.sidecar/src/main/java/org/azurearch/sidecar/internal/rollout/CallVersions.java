package org.azurearch.sidecar.internal.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.rollout.VersionRouter.Permit;
import org.azurearch.sidecar.route.EndpointState;
import org.jspecify.annotations.Nullable;

/**
 * Which versions one call may be sent to. Only its first attempt goes to the target version of a
 * roll-out, unless that serves all requests already. Confined to one event loop.
 */
public final class CallVersions {
    private final Permit mPermit;
    private final boolean mTarget;
    private boolean mFirst = true;

    CallVersions(Permit permit, boolean target) {
        mPermit = permit;
        mTarget = target;
    }

    /** Returns whether the first attempt goes to the target version. */
    boolean toTarget() {
        return mTarget;
    }

    /** Returns the endpoints to choose from first; the next attempt has others. */
    public Collection<EndpointState> preferred(Collection<EndpointState> all) {
        boolean target = mTarget && (mFirst || mPermit.targetOnly());
        mFirst = false;
        return target ? ofTarget(all) : ofMain(all);
    }

    /** Returns the endpoints to choose from if none of the preferred ones accepts the request. */
    public Collection<EndpointState> ofMain(Collection<EndpointState> all) {
        return filter(all, mPermit.main());
    }

    private List<EndpointState> ofTarget(Collection<EndpointState> all) {
        List<EndpointState> endpoints = filter(all, mPermit.target());
        endpoints.removeIf(endpoint -> !mPermit.targetNodes().contains(endpoint.node()));
        return endpoints;
    }

    private static List<EndpointState> filter(
            Collection<EndpointState> all, @Nullable String version) {
        List<EndpointState> endpoints = new ArrayList<>();
        for (EndpointState endpoint : all) {
            BackendRecord backend = endpoint.record().backend();
            if (version != null && backend != null && backend.version().equals(version)) {
                endpoints.add(endpoint);
            }
        }
        return endpoints;
    }
}
