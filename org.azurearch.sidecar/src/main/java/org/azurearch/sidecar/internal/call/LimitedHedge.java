package org.azurearch.sidecar.internal.call;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.azurearch.sidecar.config.RouteRule;
import org.azurearch.sidecar.route.EndpointState;
import org.azurearch.sidecar.route.HedgeLimiter;
import org.azurearch.sidecar.route.HedgePolicy;
import org.azurearch.sidecar.route.HedgePolicy.Decision;
import org.azurearch.sidecar.route.HedgeView;
import org.azurearch.sidecar.route.RouteLatency;
import org.jspecify.annotations.Nullable;

/**
 * Hedges a request as {@link HedgePolicy} decides, within the limit of the operator and the shared
 * retry budget. Confined to one event loop.
 */
final class LimitedHedge implements Hedge {
    private final CallRouter mRouter;
    private final Hedges mHedges;
    private final RouteRule mRoute;
    private final String mService;
    private final Owner mOwner;
    private final RouteLatency mLatency;
    private @Nullable ScheduledFuture<?> mTimer;
    private @Nullable EndpointAttempt mSecond;
    private Decision mLastDecision = Decision.SEND;
    private int mWaitingBehind;
    private boolean mDecided;
    private boolean mAnswered;

    LimitedHedge(CallRouter router, Hedges hedges, RouteRule route, String service, Owner owner) {
        mRouter = router;
        mHedges = hedges;
        mRoute = route;
        mService = service;
        mOwner = owner;
        mLatency = hedges.latency(route);
        schedule(hedges.policy().delayMillis(mLatency, route.targetMillis(), 1, mWaitingBehind));
    }

    @Override
    public void delaysOthers(int waiting) {
        boolean more = waiting > mWaitingBehind;
        mWaitingBehind = waiting;
        EndpointAttempt pending = mOwner.onlyAttempt();
        ScheduledFuture<?> timer = mTimer;
        if (!more || mDecided || pending == null || timer == null || timer.isDone()) {
            return;
        }
        long delay = mHedges.policy().delayMillis(mLatency, mRoute.targetMillis(), 1, waiting);
        double left = delay - pending.elapsedMillis(System.nanoTime());
        if (left < timer.getDelay(TimeUnit.MILLISECONDS)) {
            timer.cancel(false);
            schedule(left);
        }
    }

    @Override
    public void answered(EndpointAttempt attempt) {
        long now = System.nanoTime();
        mLatency.answered(attempt.elapsedMillis(now), now);
        mAnswered = true;
        if (attempt == mSecond) {
            mHedges.metrics().won();
        }
    }

    @Override
    public void end(List<EndpointAttempt> open) {
        if (mTimer != null) {
            mTimer.cancel(false);
        }
        long now = System.nanoTime();
        for (EndpointAttempt attempt : open) {
            mLatency.cancelled(attempt.elapsedMillis(now), now);
        }
        if (mSecond == null) {
            mHedges.metrics().withheld(mLastDecision);
        } else if (mAnswered) {
            mHedges.metrics().cancelled(open.size());
        }
    }

    private void schedule(double millis) {
        long delay = Math.max(1, (long) Math.ceil(millis));
        mTimer = mRouter.loop().schedule(this::decide, delay, TimeUnit.MILLISECONDS);
    }

    private void decide() {
        EndpointAttempt pending = mOwner.onlyAttempt();
        if (pending == null) {
            return;
        }
        long now = System.nanoTime();
        HedgeView view = new HedgeView(mRouter.endpoints(), mService, mRoute.name(), now);
        double factor = view.serverFactor(pending.endpoint());
        long delay =
                mHedges.policy()
                        .delayMillis(mLatency, mRoute.targetMillis(), factor, mWaitingBehind);
        double elapsed = pending.elapsedMillis(now);
        if (elapsed < delay) {
            schedule(delay - elapsed);
            return;
        }
        double remaining = HedgePolicy.remainingMillis(mLatency, elapsed, factor);
        mDecided = true;
        mLastDecision = tryToSend(pending, view, remaining, elapsed, now);
        if (mLastDecision.temporary()) {
            schedule(HedgePolicy.recheckMillis(elapsed));
        }
    }

    private Decision tryToSend(
            EndpointAttempt pending,
            HedgeView view,
            double remainingMillis,
            double elapsedMillis,
            long nowNanos) {
        HedgePolicy.Pending request = request(remainingMillis);
        Decision decision = HedgePolicy.decide(request);
        if (decision != Decision.SEND) {
            return decision;
        }
        double bytes = mRouter.answers().expectedBytes(mRoute.name());
        EndpointState server = mOwner.choose(view.candidates(bytes));
        HedgePolicy.Second second =
                view.second(server, mRoute.rank(), mRoute.targetMillis(), bytes);
        decision = HedgePolicy.decide(request, second);
        if (server == null || second == null || decision != Decision.SEND) {
            return decision == Decision.NO_SERVER
                    ? view.whyNone(bytes, mOwner.triedNodes())
                    : decision;
        }
        HedgeLimiter limiter = mHedges.limiter(mService);
        if (!limiter.allows(bytes, nowNanos)) {
            return Decision.LIMIT;
        }
        if (!mRouter.tryAcquireRetry(mService)) {
            return Decision.RETRY_BUDGET;
        }
        limiter.onHedge(bytes, nowNanos);
        mHedges.metrics().sent();
        mSecond =
                mOwner.hedge(
                        server,
                        (lines, attempts) ->
                                lines.hedged(
                                        mRoute.name(),
                                        pending.node(),
                                        server.node(),
                                        elapsedMillis,
                                        remainingMillis,
                                        second.expectedMillis()));
        return Decision.SEND;
    }

    private HedgePolicy.Pending request(double remainingMillis) {
        return new HedgePolicy.Pending(
                mRoute.idempotent(),
                mOwner.attemptsLeft(),
                mOwner.suspect(),
                mHedges.stopping(),
                mRouter.answers().hasRoom(mRoute.name()),
                mOwner.remainingMillis(),
                remainingMillis,
                mWaitingBehind);
    }
}
