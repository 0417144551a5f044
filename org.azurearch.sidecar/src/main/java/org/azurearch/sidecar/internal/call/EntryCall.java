package org.azurearch.sidecar.internal.call;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Collection;
import java.util.Set;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.Verdict;
import org.azurearch.sidecar.call.AttemptFailure;
import org.azurearch.sidecar.call.BackendAnswer;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.config.RouteRule;
import org.azurearch.sidecar.config.RoutingConfig;
import org.azurearch.sidecar.internal.rollout.CallVersions;
import org.azurearch.sidecar.route.EndpointState;
import org.jspecify.annotations.Nullable;

/**
 * A call of a caller on this VM: finds the route, chooses backend servers and gives exactly one
 * answer. Confined to one event loop.
 */
final class EntryCall implements EndpointAttempt.Owner, Hedge.Owner {
    /** Retry delay if no backend server is known; one may send a heartbeat within this time. */
    private static final long NO_BACKEND_RETRY_MILLIS = 400;

    /** Shortest retry delay after an attempt was refused or no node answered in time. */
    private static final long MIN_RETRY_MILLIS = 50;

    /**
     * Wait before a request that was in flight at a crash is sent once more, in which the strikes
     * of copies at other nodes arrive.
     */
    private static final long CRASH_RETRY_MILLIS = 20;

    /** A request is sent once more after one crash, as it may not be the cause. */
    private static final int MAX_CRASHES_BEFORE_RETRY = 1;

    private static final int TOO_LARGE = HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code();

    private final CallRouter mRouter;
    private final CallRequest mRequest;
    private final CallResponder mResponder;
    private final String mId;
    private final CallLines mLog;
    private final CallAttempts mAttempts = new CallAttempts();
    private @Nullable RouteRule mRoute;
    private @Nullable CallerAccount mAccount;
    private long mConfigVersion = -1;
    private String mService = "";
    private @Nullable CallVersions mVersions;
    private final CallResources mResources;
    private @Nullable Hedge mHedge;
    private @Nullable BackendAnswer mFailedAnswer;
    private boolean mMayHaveRun;
    private boolean mDone;

    EntryCall(CallRouter router, FullHttpRequest request, CallResponder responder) {
        mRouter = router;
        mRequest = new CallRequest(request, router.arrivalNanos());
        mResponder = responder;
        mResources = new CallResources(router);
        mId = request.headers().get(router.dialect().requestId(), "-");
        mLog = new CallLines(router.log(), mId);
        router.callBegun();
    }

    /** Returns whether the request may run more than once, or cannot run at all. */
    boolean idempotent() {
        RoutingConfig config = mRouter.config();
        RouteRule route = mRoute;
        if (route == null && config != null) {
            route = mRouter.findRoute(config, mRequest.http());
        }
        return route == null || route.idempotent();
    }

    /** Starts the call. The request's content is copied and not used after this returns. */
    void start() {
        RoutingConfig config = mRouter.config();
        if (mDone || mRouter.stopping()) {
            refuse(AttemptFailure.stopping());
            return;
        }
        if (config == null) {
            refuse(ErrorCode.NOT_READY, NO_BACKEND_RETRY_MILLIS, "no configuration yet");
            return;
        }
        mConfigVersion = config.version();
        AttemptFailure unconfirmed = mRouter.unconfirmed();
        if (unconfirmed != null) {
            refuse(unconfirmed);
            return;
        }
        RouteRule matched = mRouter.findRoute(config, mRequest.http());
        if (matched == null) {
            String path = CallRouter.host(mRequest.http()) + mRequest.http().uri();
            refuse(mRouter.unknown(ErrorCode.NO_ROUTE, "no route for " + path));
            return;
        }
        CallerAccount account =
                new CallerAccount(mRouter, config, matched, mRequest.http().headers());
        RouteRule route = account.route();
        mRoute = route;
        mAccount = account;
        AttemptFailure unidentified = account.refusal();
        if (unidentified != null) {
            refuse(unidentified);
            return;
        }
        if (mRequest.http().content().readableBytes() > config.limits().maxBodyBytes()) {
            finish(TOO_LARGE, ErrorCode.TOO_LARGE, 0, "the body is larger than the limit");
            return;
        }
        mRequest.limit(mRouter.allowedMillis(mRequest.http().headers(), route, mId));
        if (remainingMillis() <= 0) {
            refuse(ErrorCode.DEADLINE_EXCEEDED, 0, "no time left at the start");
            return;
        }
        admit(route, account);
    }

    /** Starts the first attempt of a call that may run. */
    private void admit(RouteRule route, CallerAccount account) {
        mRequest.copy(account.forwardedHeaders(mRequest.http().headers()));
        AttemptFailure contained = mResources.containment(call(route));
        if (contained != null) {
            refuse(contained);
            return;
        }
        AnswerReservation reservation =
                mResources.reserveAnswer(route, mRequest.startedNanos(), mRequest.deadlineNanos());
        String full = reservation.refusal();
        if (full != null) {
            refuse(ErrorCode.OVERLOADED, reservation.retryMillis(), full);
            return;
        }
        account.acquireToken(remainingMillis(), () -> begin(route), this::refuse);
    }

    private void begin(RouteRule route) {
        if (mDone) {
            return;
        }
        mService = mRouter.nextService(route);
        mVersions = mRouter.versions(mService, route.name());
        mRouter.recordRequest(mService);
        mResources.schedule(this::timedOut, Math.max(0, remainingMillis()));
        sendToNext(null);
        if (!mDone) {
            mHedge = mRouter.hedge(route, mService, this);
        }
    }

    /** Tells that a number of requests wait for this one on its connection. */
    void delaysOthers(int waiting) {
        if (!mDone && mHedge != null) {
            mHedge.delaysOthers(waiting);
        }
    }

    @Override
    public @Nullable EndpointAttempt onlyAttempt() {
        return mDone ? null : mAttempts.onlyOpen();
    }

    @Override
    public @Nullable EndpointAttempt hedge(EndpointState second, Hedge.LogLine line) {
        RouteRule route = mRoute;
        if (route == null || (mAccount != null && !mAccount.tryAcquireToken())) {
            return null;
        }
        line.write(mLog, mAttempts.count());
        mRouter.metrics().retried();
        return send(route, second);
    }

    /** Makes no further attempt, and ends the call unless a node that is heard works on it. */
    void withdraw() {
        if (mAttempts.noneOpen()) {
            giveUp(AttemptFailure.stopping());
        }
        mAttempts.withdraw();
        if (mAttempts.allSilent()) {
            timedOut();
        }
    }

    /** Cancels all attempts, as the caller has disconnected. */
    void cancel() {
        if (mDone) {
            return;
        }
        end();
        mRouter.metrics().cancelled();
        mLog.cancelled(mRoute, mAttempts.count(), elapsedMillis());
    }

    /**
     * Sends the request to the best endpoint not tried yet, or ends the call if there is none.
     *
     * @param last the failure of the previous attempt, or null
     */
    private void sendToNext(@Nullable AttemptFailure last) {
        RouteRule route = mRoute;
        if (route == null || mDone) {
            return;
        }
        if (!mMayHaveRun && mAccount != null && mAccount.withdrawn()) {
            refuse(mAccount.withdrawal());
            return;
        }
        if (!mRouter.maySend(route, remainingMillis())) {
            giveUp(last == null ? AttemptFailure.stopping() : last);
            return;
        }
        EndpointState endpoint = mAttempts.mayAdd() ? choose(mRouter.endpoints()) : null;
        if (endpoint == null && mMayHaveRun && mAttempts.mayReuseNode(route)) {
            endpoint = choose(route, Set.of(), mRouter.endpoints());
        }
        if (endpoint == null) {
            giveUp(last);
            return;
        }
        send(route, endpoint);
    }

    private @Nullable EndpointState choose(
            RouteRule route, Set<String> tried, Collection<EndpointState> endpoints) {
        return mRouter.choose(endpoints, route, mService, tried, mVersions);
    }

    @Override
    public @Nullable EndpointState choose(Collection<EndpointState> candidates) {
        return mRoute == null ? null : choose(mRoute, mAttempts.triedNodes(), candidates);
    }

    private EndpointAttempt send(RouteRule route, EndpointState endpoint) {
        EndpointAttempt attempt = new EndpointAttempt(mRouter, this, endpoint, call(route));
        mAttempts.send(attempt);
        return attempt;
    }

    private void giveUp(@Nullable AttemptFailure last) {
        BackendAnswer failed = mFailedAnswer;
        if (mDone) {
            return;
        }
        if (failed != null) {
            deliver(failed);
        } else if (mMayHaveRun) {
            finish(
                    HttpResponseStatus.BAD_GATEWAY.code(),
                    last == null ? ErrorCode.BACKEND_SERVER_FAILED : last.code(),
                    0,
                    last == null ? "" : last.detail());
        } else if (last == null) {
            refuse(ErrorCode.NO_BACKEND_SERVER, NO_BACKEND_RETRY_MILLIS, "none of " + mService);
        } else {
            refuse(last.code(), Math.max(MIN_RETRY_MILLIS, last.retryAfterMillis()), last.detail());
        }
    }

    @Override
    public boolean remove(EndpointAttempt attempt) {
        return mAttempts.remove(attempt);
    }

    @Override
    public boolean over() {
        return mDone;
    }

    @Override
    public void notReached() {
        mAttempts.notReached();
    }

    @Override
    public void answered(EndpointAttempt attempt, BackendAnswer answer) {
        RouteRule route = mRoute;
        boolean retry =
                answer.failed()
                        && mAttempts.noneOpen()
                        && route != null
                        && route.idempotent()
                        && mayRetry(route, 0)
                        && remainingMillis() > route.targetMillis() / 2;
        if (mHedge != null && !answer.failed()) {
            mHedge.answered(attempt);
        }
        if (!answer.failed() || (!retry && mAttempts.noneOpen())) {
            deliver(answer);
            return;
        }
        mFailedAnswer = answer;
        mMayHaveRun = true;
        if (!mAttempts.noneOpen()) {
            retryBesideSilent();
            return;
        }
        mLog.attemptFailed(
                attempt.node(),
                mAttempts.count(),
                "BACKEND_SERVER_FAILED",
                Verdict.RAN,
                CallLines.RETRY_ANOTHER,
                "status " + answer.status());
        mRouter.metrics().retried();
        sendAgain(null, true);
    }

    @Override
    public void failed(EndpointAttempt attempt, AttemptFailure failure) {
        RouteRule route = mRoute;
        if (route == null) {
            return;
        }
        mMayHaveRun |= failure.verdict() != Verdict.NOT_RUN;
        if (!mAttempts.noneOpen()) {
            retryBesideSilent();
            return;
        }
        if (failure.reachedBackend() && mRouter.suspects().crashes(call(route)) > 0) {
            mResources.schedule(() -> retryOrEnd(route, attempt, failure), CRASH_RETRY_MILLIS);
        } else {
            retryOrEnd(route, attempt, failure);
        }
    }

    @Override
    public void retryBesideSilent() {
        if (mRoute != null && !mDone) {
            SilenceRetry.send(mRouter, mRoute, mService, this, mAttempts);
        }
    }

    private void retryOrEnd(RouteRule route, EndpointAttempt attempt, AttemptFailure failure) {
        boolean allowed =
                failure.verdict().mayRetry(route.idempotent())
                        && failure.code() != ErrorCode.SUSPECT_REQUEST
                        && remainingMillis() > 0;
        boolean retry =
                allowed && (!failure.reachedBackend() || mayRetry(route, MAX_CRASHES_BEFORE_RETRY));
        mLog.attemptFailed(
                attempt.node(),
                mAttempts.count(),
                failure.code().name(),
                failure.verdict(),
                retry ? CallLines.RETRY_ANOTHER : CallLines.NO_RETRY,
                failure.detail());
        if (!retry) {
            giveUp(failure);
            return;
        }
        if (failure.reachedBackend()) {
            mRouter.metrics().retried();
        }
        sendAgain(failure, failure.reachedBackend());
    }

    /** Makes a further attempt; one that may run once more needs a token of its own. */
    private void sendAgain(@Nullable AttemptFailure last, boolean runsAgain) {
        if (runsAgain && mAccount != null) {
            mAccount.acquireToken(
                    remainingMillis(), () -> sendToNext(last), refused -> giveUp(last));
        } else {
            sendToNext(last);
        }
    }

    /**
     * Returns whether the request may be sent to a further backend server that may run it; not one
     * that is on trial.
     *
     * @param maxCrashes the most crashes at which a request like it may have been in flight
     */
    private boolean mayRetry(RouteRule route, int maxCrashes) {
        return attemptsLeft() && !suspect(route, maxCrashes) && mRouter.tryAcquireRetry(mService);
    }

    @Override
    public Set<String> triedNodes() {
        return mAttempts.triedNodes();
    }

    @Override
    public boolean attemptsLeft() {
        return mRoute != null
                && mAttempts.backendsBelow(mRoute.maxAttempts())
                && (mAccount == null || !mAccount.withdrawn());
    }

    @Override
    public boolean suspect() {
        return mRoute == null || suspect(mRoute, 0);
    }

    private boolean suspect(RouteRule route, int maxCrashes) {
        return mResources.onTrial() || mRouter.suspects().crashes(call(route)) > maxCrashes;
    }

    private void timedOut() {
        if (mDone) {
            return;
        }
        for (EndpointAttempt attempt : mAttempts.open()) {
            mMayHaveRun |= attempt.timedOut();
        }
        if (mFailedAnswer != null) {
            deliver(mFailedAnswer);
        } else if (mMayHaveRun) {
            finish(
                    HttpResponseStatus.GATEWAY_TIMEOUT.code(),
                    ErrorCode.DEADLINE_EXCEEDED,
                    0,
                    "no answer in time");
        } else {
            refuse(ErrorCode.OVERLOADED, MIN_RETRY_MILLIS, "no answer in time");
        }
    }

    private void deliver(BackendAnswer answer) {
        RouteRule route = mRoute;
        end();
        mResponder.answer(answer);
        if (route != null) {
            mRouter.recordAnswer(route, answer, elapsedMillis());
            mRouter.metrics()
                    .ended(
                            route.name(),
                            answer.status(),
                            System.nanoTime() - mRequest.startedNanos());
        }
        mLog.answered(
                route, answer.status(), mAttempts.lastNode(), mAttempts.count(), elapsedMillis());
    }

    private void refuse(AttemptFailure failure) {
        if (mDone) {
            return; // cancelled while it waited for a token
        }
        refuse(failure.code(), failure.retryAfterMillis(), failure.detail());
    }

    /** Ends a call that has not run and will not run. */
    private void refuse(ErrorCode code, long retryAfterMillis, String detail) {
        if (mAccount != null) {
            mAccount.refundToken();
        }
        finish(CallerAccount.refusalStatus(code), code, retryAfterMillis, detail);
    }

    private void finish(int status, ErrorCode code, long retryAfterMillis, String detail) {
        long jitteredRetryMillis = (long) (retryAfterMillis * (1 + mRouter.random()));
        end();
        mResponder.refuse(status, code, jitteredRetryMillis);
        RouteRule route = mRoute;
        if (route != null && !mMayHaveRun && !mService.isEmpty()) {
            mRouter.recordRefusal(route, mService);
        }
        String name = route == null ? "-" : route.name();
        mRouter.metrics().ended(name, status, System.nanoTime() - mRequest.startedNanos());
        mLog.failed(
                new CallLines.Failure(
                        name,
                        mService,
                        mConfigVersion,
                        status,
                        code,
                        mMayHaveRun ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN,
                        mAttempts.count(),
                        elapsedMillis(),
                        jitteredRetryMillis,
                        detail));
    }

    private void end() {
        mDone = true;
        mRouter.callEnded();
        mResources.release();
        if (mHedge != null) {
            mHedge.end(mAttempts.open());
        }
        mAttempts.open().forEach(EndpointAttempt::cancel);
    }

    private HopCall call(RouteRule route) {
        return mRequest.call(mRouter.nextId(), route, mService, mAccount);
    }

    @Override
    public long remainingMillis() {
        return mRequest.remainingMillis();
    }

    @Override
    public long elapsedMillis() {
        return mRequest.elapsedMillis();
    }
}
