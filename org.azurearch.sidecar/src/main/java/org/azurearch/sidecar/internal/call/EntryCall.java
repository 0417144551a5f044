package org.azurearch.sidecar.internal.call;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.lib.Verdict;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.call.Attempt;
import org.azurearch.sidecar.call.AttemptFailure;
import org.azurearch.sidecar.call.BackendAnswer;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.config.RouteRule;
import org.azurearch.sidecar.config.RoutingConfig;
import org.azurearch.sidecar.route.EndpointState;
import org.jspecify.annotations.Nullable;

/**
 * A request of a caller on this VM: finds its route, chooses backend servers and gives exactly one
 * answer. Confined to one event loop.
 */
final class EntryCall {
    /** Nodes asked for room before the caller is refused; a refusal costs a round trip only. */
    private static final int MAX_PLACEMENTS = 4;

    /** A caller that finds no backend server at all comes back when a heartbeat may have come. */
    private static final long NO_BACKEND_RETRY_MILLIS = 400;

    /** A node that was stopped is back within about this time; its callers come back then. */
    private static final long RESTART_RETRY_MILLIS = 600;

    /** The shortest time after which a refused caller is asked back. */
    private static final long MIN_RETRY_MILLIS = 50;

    private static final int TOO_LARGE = HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code();
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** What follows a failed sending, for the log. */
    private static final String ANOTHER = "another";

    private static final String NONE = "none";

    /** Gives the outcome to the caller. */
    interface Answerer {
        /** Passes on a backend server's answer. */
        void answer(BackendAnswer answer);

        /** Answers with a status of the node's own. */
        void refuse(int status, ErrorCode code, long retryAfterMillis);
    }

    private final CallRouter mRouter;
    private final FullHttpRequest mRequest;
    private final Answerer mAnswerer;
    private final String mId;
    private final long mStartedNanos = System.nanoTime();
    private final Set<String> mTried = new HashSet<>();
    private @Nullable RouteRule mRoute;
    private long mVersion = -1;
    private String mService = "";
    private long mEndNanos;
    private byte[] mBody = new byte[0];
    private List<String> mHeaders = List.of();
    private final List<Sending> mOpen = new ArrayList<>();
    private @Nullable Sending mLast;
    private @Nullable ScheduledFuture<?> mTimeout;
    private @Nullable ScheduledFuture<?> mHedge;
    private @Nullable BackendAnswer mFailedAnswer;
    private int mPlacements;
    private int mArrivals;
    private boolean mMayHaveRun;
    private boolean mDone;

    EntryCall(CallRouter router, FullHttpRequest request, Answerer answerer) {
        mRouter = router;
        mRequest = request;
        mAnswerer = answerer;
        String id = request.headers().get(router.dialect().requestId());
        mId = id == null ? "-" : id;
        router.begun();
    }

    /** Begins the call; the request's body is not used after this returns. */
    void start() {
        RoutingConfig config = mRouter.config();
        if (mRouter.stopping()) {
            refuse(ErrorCode.NOT_READY, RESTART_RETRY_MILLIS, "this node is about to end");
            return;
        }
        if (config == null) {
            refuse(ErrorCode.NOT_READY, NO_BACKEND_RETRY_MILLIS, "no configuration yet");
            return;
        }
        mVersion = config.version();
        String host = mRequest.headers().get(HttpHeaderNames.HOST);
        RouteRule route = config.findRoute(host == null ? "" : host, mRequest.uri());
        if (route == null) {
            refuse(ErrorCode.NO_ROUTE, 0, "no route for " + host + mRequest.uri());
            return;
        }
        mRoute = route;
        if (mRequest.content().readableBytes() > config.limits().maxBodyBytes()) {
            finish(TOO_LARGE, ErrorCode.TOO_LARGE, 0, "the body is larger than the limit");
            return;
        }
        long millis = Math.min(deadlineMillis(route), route.timeoutMillis());
        if (millis <= 0) {
            refuse(ErrorCode.DEADLINE_EXCEEDED, 0, "no time left at arrival");
            return;
        }
        mEndNanos = mStartedNanos + millis * NANOS_PER_MILLI;
        mBody = ByteBufUtil.getBytes(mRequest.content());
        mHeaders = mRouter.onward(mRequest.headers());
        mService = mRouter.pick(route);
        mRouter.requested(mService);
        mTimeout = mRouter.loop().schedule(this::timedOut, millis, TimeUnit.MILLISECONDS);
        place(null);
        if (route.idempotent() && route.maxAttempts() > 1) {
            long silence = mRouter.hedgeMillis(route);
            mHedge = mRouter.loop().schedule(this::hedge, silence, TimeUnit.MILLISECONDS);
        }
    }

    /** Sends the request to a second backend server while the first one is silent. */
    private void hedge() {
        RouteRule route = mRoute;
        if (mDone || route == null || mOpen.size() != 1 || !mayRepeat(route)) {
            return;
        }
        Sending silent = mOpen.get(0);
        EndpointState second = choose(route, mTried);
        if (second != null) {
            logAttempt(silent, "SILENT", Verdict.MAY_HAVE_RUN, second.node(), "no answer yet");
            mRouter.metrics().retried();
            send(route, second);
        }
    }

    /** The caller has left: all work for it stops. */
    void cancel() {
        if (mDone) {
            return;
        }
        end();
        mRouter.metrics().cancelled();
        RouteRule route = mRoute;
        mRouter.log()
                .failure(
                        SidecarEvent.CALL_CANCELLED,
                        mId,
                        route == null ? "-" : route.name(),
                        mPlacements,
                        elapsedMillis());
    }

    /** Sends the request to the best endpoint that has not been tried. */
    private void place(@Nullable AttemptFailure last) {
        RouteRule route = mRoute;
        if (route == null || mDone) {
            return;
        }
        EndpointState endpoint = mPlacements >= MAX_PLACEMENTS ? null : choose(route, mTried);
        if (endpoint == null && mMayHaveRun && mayPlaceAgain(route)) {
            endpoint = choose(route, Set.of());
        }
        if (endpoint == null) {
            giveUp(last);
            return;
        }
        send(route, endpoint);
    }

    private @Nullable EndpointState choose(RouteRule route, Set<String> tried) {
        return mRouter.choose(route, mService, tried);
    }

    /**
     * Says whether a backend server may get the request once more because there is no other one: it
     * lost the answer or reset a connection that had stood idle, and a new one may do.
     */
    private boolean mayPlaceAgain(RouteRule route) {
        return route.idempotent()
                && mPlacements < MAX_PLACEMENTS
                && mArrivals < route.maxAttempts();
    }

    private void send(RouteRule route, EndpointState endpoint) {
        mPlacements++;
        mTried.add(endpoint.node());
        Sending sending = new Sending(endpoint, route.rank());
        mOpen.add(sending);
        mLast = sending;
        sending.send(call(route));
    }

    private void giveUp(@Nullable AttemptFailure last) {
        BackendAnswer failed = mFailedAnswer;
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

    private void answered(Sending sending, BackendAnswer answer) {
        RouteRule route = mRoute;
        boolean repeat =
                answer.failed()
                        && mOpen.isEmpty()
                        && route != null
                        && route.idempotent()
                        && mayRepeat(route)
                        && leftMillis() > route.targetMillis() / 2;
        if (!answer.failed() || (!repeat && mOpen.isEmpty())) {
            deliver(answer);
            return;
        }
        mFailedAnswer = answer;
        mMayHaveRun = true;
        if (!mOpen.isEmpty()) {
            return;
        }
        logAttempt(
                sending,
                "BACKEND_SERVER_FAILED",
                Verdict.RAN,
                ANOTHER,
                "status " + answer.status());
        mRouter.metrics().retried();
        place(null);
    }

    private void failed(Sending sending, AttemptFailure failure) {
        RouteRule route = mRoute;
        if (route == null) {
            return;
        }
        mMayHaveRun |= failure.verdict() != Verdict.NOT_RUN;
        if (!mOpen.isEmpty()) {
            return;
        }
        boolean allowed = failure.verdict().mayRetry(route.idempotent()) && leftMillis() > 0;
        boolean again = allowed && (!failure.reachedBackend() || mayRepeat(route));
        logAttempt(
                sending,
                failure.code().name(),
                failure.verdict(),
                again ? ANOTHER : NONE,
                failure.detail());
        if (!again) {
            giveUp(failure);
            return;
        }
        if (failure.reachedBackend()) {
            mRouter.metrics().retried();
        }
        place(failure);
    }

    private boolean mayRepeat(RouteRule route) {
        return mArrivals < route.maxAttempts() && mRouter.mayRepeat(mService);
    }

    private void timedOut() {
        if (mDone) {
            return;
        }
        mMayHaveRun |= !mOpen.isEmpty();
        mOpen.forEach(Sending::timedOut);
        BackendAnswer failed = mFailedAnswer;
        if (failed != null) {
            deliver(failed);
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
        Sending sending = mLast;
        end();
        mAnswerer.answer(answer);
        if (route != null) {
            mRouter.answered(route, answer.body().length, elapsedMillis());
            mRouter.metrics()
                    .ended(route.name(), answer.status(), System.nanoTime() - mStartedNanos);
        }
        if (mRouter.log().sampled()) {
            EventLog.log(
                    SidecarEvent.CALL_ANSWERED,
                    mId,
                    route == null ? "-" : route.name(),
                    answer.status(),
                    sending == null ? "-" : sending.mEndpoint.node(),
                    mPlacements,
                    elapsedMillis());
        }
    }

    /** Ends the call where it has not run and never will. */
    private void refuse(ErrorCode code, long retryAfterMillis, String detail) {
        int status =
                code == ErrorCode.NO_ROUTE
                        ? code.httpStatus()
                        : HttpResponseStatus.SERVICE_UNAVAILABLE.code();
        finish(status, code, retryAfterMillis, detail);
    }

    private void finish(int status, ErrorCode code, long retryAfterMillis, String detail) {
        long spread = (long) (retryAfterMillis * (1 + mRouter.random()));
        end();
        mAnswerer.refuse(status, code, spread);
        RouteRule route = mRoute;
        if (route != null && !mMayHaveRun && !mService.isEmpty()) {
            mRouter.refused(route, mService);
        }
        String name = route == null ? "-" : route.name();
        mRouter.metrics().ended(name, status, System.nanoTime() - mStartedNanos);
        mRouter.log()
                .failure(
                        SidecarEvent.CALL_FAILED,
                        mId,
                        name,
                        mService,
                        mVersion,
                        status,
                        code.code(),
                        (mMayHaveRun ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN).headerValue(),
                        mPlacements,
                        elapsedMillis(),
                        spread,
                        detail);
    }

    private void end() {
        mDone = true;
        mRouter.ended();
        if (mTimeout != null) {
            mTimeout.cancel(false);
        }
        if (mHedge != null) {
            mHedge.cancel(false);
        }
        List.copyOf(mOpen).forEach(Sending::stop);
    }

    private void logAttempt(
            Sending sending, String code, Verdict verdict, String next, String detail) {
        mRouter.log()
                .failure(
                        SidecarEvent.ATTEMPT_FAILED,
                        mId,
                        sending.mEndpoint.node(),
                        mPlacements,
                        code,
                        verdict.headerValue(),
                        next,
                        detail);
    }

    private HopCall call(RouteRule route) {
        return new HopCall(
                mRouter.nextId(),
                mRequest.method().name(),
                mRequest.uri(),
                mHeaders,
                mBody,
                mEndNanos,
                mStartedNanos + route.targetMillis() * NANOS_PER_MILLI,
                route.rank(),
                mService,
                route.name(),
                route.idempotent());
    }

    private long deadlineMillis(RouteRule route) {
        String text = mRequest.headers().get(mRouter.dialect().deadlineMillis());
        if (text == null) {
            return route.timeoutMillis();
        }
        try {
            return Long.parseLong(text.trim());
        } catch (NumberFormatException e) {
            mRouter.log()
                    .failure(SidecarEvent.CALLER_MALFORMED, mId, "deadline is no number: " + text);
            return route.timeoutMillis();
        }
    }

    private long leftMillis() {
        return (mEndNanos - System.nanoTime()) / NANOS_PER_MILLI;
    }

    private long elapsedMillis() {
        return (System.nanoTime() - mStartedNanos) / NANOS_PER_MILLI;
    }

    /** One sending to one endpoint. */
    private final class Sending implements Attempt.Listener {
        private final EndpointState mEndpoint;
        private final int mRank;
        private @Nullable Attempt mAttempt;

        Sending(EndpointState endpoint, int rank) {
            mEndpoint = endpoint;
            mRank = rank;
        }

        void send(HopCall call) {
            mArrivals++;
            mEndpoint.requestStarted(mRank);
            Attempt attempt = mRouter.send(mEndpoint, call, this);
            mAttempt = attempt;
        }

        /** The caller's time is up: the endpoint was silent for long enough to count as failing. */
        void timedOut() {
            mEndpoint.observeOutcome(true, System.nanoTime());
        }

        void stop() {
            if (mOpen.remove(this)) {
                mEndpoint.requestEnded(mRank);
                if (mAttempt != null) {
                    mAttempt.cancel();
                }
            }
        }

        @Override
        public void answered(BackendAnswer answer) {
            RouteRule route = mRoute;
            if (route != null) {
                mEndpoint.observeWork(route.name(), answer.workMillis());
            }
            if (close(answer.failed())) {
                EntryCall.this.answered(this, answer);
            }
        }

        @Override
        public void failed(AttemptFailure failure) {
            if (!failure.reachedBackend()) {
                mArrivals--;
            }
            if (close(failure.reachedBackend())) {
                EntryCall.this.failed(this, failure);
            }
        }

        private boolean close(boolean failure) {
            if (!mOpen.remove(this)) {
                return false;
            }
            mEndpoint.requestEnded(mRank);
            mEndpoint.observeOutcome(failure, System.nanoTime());
            return !mDone;
        }
    }
}
