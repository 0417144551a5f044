package org.azurearch.sidecar.internal.call;

import java.util.List;
import org.azurearch.sidecar.config.RouteRule;
import org.azurearch.sidecar.route.EndpointState;

/**
 * Hedges a request once within the shared retry budget, after a delay that covers almost all
 * answers, or sooner if other requests wait for the answer. Used unless the operator limits hedged
 * requests. Confined to one event loop.
 */
final class DefaultHedge implements Hedge {
    private final CallRouter mRouter;
    private final RouteRule mRoute;
    private final String mService;
    private final Owner mOwner;
    private final HedgeTimer mTimer;

    DefaultHedge(CallRouter router, RouteRule route, String service, Owner owner) {
        mRouter = router;
        mRoute = route;
        mService = service;
        mOwner = owner;
        mTimer = new HedgeTimer(router.loop(), router.hedgeMillis(route, 0), this::trySend);
    }

    @Override
    public void delaysOthers(int waiting) {
        mTimer.hasten(mRouter.hedgeMillis(mRoute, waiting) - mOwner.elapsedMillis());
    }

    @Override
    public void answered(EndpointAttempt attempt) {
        // The delay is learned from whole calls; see CallRouter.recordAnswer.
    }

    @Override
    public void end(List<EndpointAttempt> open) {
        mTimer.cancel();
    }

    /**
     * An early attempt goes only to a server with a free slot, where it delays no other request.
     */
    private boolean trySend(boolean early) {
        EndpointAttempt pending = mOwner.onlyAttempt();
        if (pending == null || !mOwner.attemptsLeft() || mOwner.suspect()) {
            return false;
        }
        EndpointState second = mOwner.choose(mRouter.endpoints());
        boolean room = second != null && (!early || second.hasFreeSlot(System.nanoTime()));
        if (second == null || !room || !mRouter.tryAcquireRetry(mService)) {
            return false;
        }
        if (early) {
            mRouter.metrics().hedgedEarly();
        }
        mOwner.hedge(
                second, (lines, attempts) -> lines.silent(pending.node(), attempts, second.node()));
        return true;
    }
}
