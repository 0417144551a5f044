package org.azurearch.sidecar.internal.call;

import org.azurearch.sidecar.config.RouteRule;
import org.azurearch.sidecar.route.EndpointState;

/**
 * Sends an idempotent request to a second backend server because the node of the first is silent.
 * The first attempt stays open, as that node may only be late.
 */
final class SilenceRetry {
    private SilenceRetry() {}

    /** Sends the request within the shared retry budget, if another server may serve it. */
    static void send(
            CallRouter router,
            RouteRule route,
            String service,
            Hedge.Owner owner,
            CallAttempts attempts) {
        EndpointAttempt silent = attempts.onlyOpen();
        boolean allowed = route.idempotent() && attempts.mayAdd() && owner.attemptsLeft();
        if (silent == null
                || !silent.silent()
                || !allowed
                || owner.suspect()
                || !router.maySend(route, owner.remainingMillis())) {
            return;
        }
        EndpointState second = owner.choose(router.endpoints());
        if (second != null && router.tryAcquireRetry(service)) {
            owner.hedge(
                    second, (lines, count) -> lines.silent(silent.node(), count, second.node()));
        }
    }
}
