package org.azurearch.internal.call;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.HashSet;
import java.util.Set;
import org.azurearch.call.CallFailure;
import org.azurearch.call.CallHeaders;
import org.azurearch.call.StoredOutcome;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.NodeId;
import org.azurearch.lib.Verdict;
import org.azurearch.member.Member;
import org.azurearch.route.EndpointLoad;
import org.azurearch.route.Route;
import org.jspecify.annotations.Nullable;

/**
 * A call from a caller, or one that a peer has forwarded because this node is the home node of its
 * ticket or key. Finds the route, chooses a backend server, and retries where that is allowed.
 */
final class EntryCall extends InboundCall implements IdempotencyHandler.Call {
    private static final long NO_BACKEND_RETRY_MILLIS = 1_000L;
    private static final long MAX_HOP_MARGIN_MILLIS = 20L;
    private static final int HOP_MARGIN_DIVISOR = 10;
    private static final String REPLAYED = "azurearch-replayed";

    private final ReplayBuffer mReplay = new ReplayBuffer();
    private final @Nullable HomeRequest mHome;
    private CallContext mContext = CallContext.ROOT;
    private @Nullable Route mRoute;
    private @Nullable IdempotencyHandler mIdempotency;
    private @Nullable OutcomeRecorder mRecorder;
    private @Nullable EndpointLoad mLoad;
    private Set<NodeId> mExcluded = Set.of();
    private int mAttempts;
    private boolean mMayHaveRun;
    private boolean mForwarded;
    private boolean mReplayed;
    private boolean mLoopFound;

    /**
     * Creates a call.
     *
     * @param home the header of a call forwarded by a peer, or null for a call from a caller
     */
    EntryCall(
            CallerHandler caller,
            CallWorker worker,
            HttpRequest request,
            @Nullable HomeRequest home) {
        super(caller, worker, request, CallResolver.DEFAULT_DEADLINE_MILLIS);
        mHome = home;
    }

    @Override
    void start() {
        CallResolver.Resolution resolution = CallResolver.resolve(worker(), request(), mHome);
        CallFailure refusal = resolution.refusal();
        Route route = resolution.route();
        mRoute = route;
        if (refusal != null || route == null) {
            CallFailure failure =
                    refusal != null ? refusal : CallFailure.notRun(ErrorCode.NO_ROUTE, "no route");
            fail(failure.withVerdict(callVerdict(failure.verdict())));
            return;
        }
        mContext = resolution.context();
        deadline(resolution.deadlineMillis());
        if (!route.config().idempotent() && hasTicketOrKey()) {
            IdempotencyHandler idempotency =
                    new IdempotencyHandler(worker(), this, request(), mHome != null);
            mIdempotency = idempotency;
            idempotency.begin(
                    route,
                    mHome != null ? mHome.ticket() : request().headers().get(CallHeaders.TICKET));
        } else {
            proceed();
        }
    }

    @Override
    public void proceed() {
        Route route = mRoute;
        if (done() || route == null) {
            return;
        }
        EndpointLoad load = choose(route);
        if (load == null) {
            fail(noEndpoint());
            return;
        }
        worker().retryBudget(route).recordFirstAttempt(route.policy().retryBudgetPercent());
        attempt(route, load);
    }

    @Override
    public void forward(Member home, @Nullable String ticket) {
        if (done()) {
            return;
        }
        mForwarded = true;
        HomeRequest homeRequest =
                new HomeRequest(worker().nextCallId(), hopDeadlineMillis(), mContext, ticket);
        HttpRequest head = RequestHeads.forHome(request(), homeRequest);
        run(new HopExchange(worker(), home.calls(), home.node(), head, homeRequest.callId(), this));
    }

    @Override
    public void replay(StoredOutcome outcome) {
        if (done()) {
            return;
        }
        CallFailure failure = outcome.failure();
        if (failure != null) {
            fail(failure);
        } else if (!outcome.bodyKept()) {
            fail(
                    CallFailure.of(
                            Verdict.RAN,
                            ErrorCode.OUTCOME_UNKNOWN,
                            "the request ran; its answer was too large to store"));
        } else {
            mReplayed = true;
            answerHead(OutcomeRecorder.head(outcome));
            answerBody(new DefaultLastHttpContent(Unpooled.wrappedBuffer(outcome.body())));
        }
    }

    @Override
    public void refuse(CallFailure failure) {
        fail(failure);
    }

    /**
     * {@inheritDoc}
     *
     * <p>A non-idempotent request with a ticket or key may be a repetition that has run before.
     * Not-run is therefore returned only where this node's outcome record shows that it is the
     * first one.
     */
    @Override
    Verdict callVerdict(Verdict lastAttempt) {
        boolean idempotent = mRoute != null && mRoute.config().idempotent();
        boolean knownFirst = mIdempotency != null && mIdempotency.running();
        boolean unsure = mMayHaveRun || (hasTicketOrKey() && !idempotent && !knownFirst);
        return lastAttempt == Verdict.NOT_RUN && unsure ? Verdict.MAY_HAVE_RUN : lastAttempt;
    }

    @Override
    void addAnswerHeaders(HttpHeaders headers) {
        if (mHome != null) {
            headers.set(CallHeaders.CALL_ID, mHome.callId());
        }
        if (mReplayed) {
            headers.set(REPLAYED, "true");
        }
        if (mHome == null && mRoute != null && !mRoute.config().idempotent()) {
            headers.set(CallHeaders.TICKET, worker().tickets().issue().text(worker().signer()));
        }
    }

    @Override
    boolean acceptsBody() {
        Exchange exchange = exchange();
        return exchange == null ? !mReplay.aboveReadLimit() : exchange.writable();
    }

    @Override
    void onBody(HttpContent content) {
        Exchange exchange = exchange();
        mReplay.add(content, exchange == null);
        if (exchange == null) {
            content.release();
        } else {
            exchange.body(content);
        }
    }

    @Override
    void onAnswer(HttpResponse head) {
        mReplay.discard();
        if (mLoad != null) {
            mLoad.recordSuccess();
        }
        if (mIdempotency != null && mIdempotency.running()) {
            mRecorder = new OutcomeRecorder(head);
        }
    }

    @Override
    void onAnswerBody(HttpContent content) {
        if (mRecorder != null) {
            mRecorder.body(content.content());
        }
    }

    @Override
    boolean continuesWithoutCaller() {
        return mIdempotency != null && mIdempotency.running() && exchange() != null && bodyEnded();
    }

    @Override
    void onFailure(CallFailure failure) {
        Route route = mRoute;
        EndpointLoad load = mLoad;
        if (mForwarded) {
            onForwardFailed(failure);
            return;
        }
        if (route == null || load == null) {
            fail(failure);
            return;
        }
        worker().recordFailure(route, load, failure);
        releaseLoad();
        mMayHaveRun |= failure.verdict() != Verdict.NOT_RUN;
        exclude(load.endpoint().node());
        EndpointLoad next = mayRetry(route, failure) ? choose(route) : null;
        if (next != null && worker().retryBudget(route).tryTake()) {
            worker().recordRetry();
            attempt(route, next);
        } else {
            fail(failure.withVerdict(callVerdict(failure.verdict())));
        }
    }

    @Override
    void onEnd(Verdict verdict, @Nullable ErrorCode code) {
        mReplay.discard();
        releaseLoad();
        if (mIdempotency != null) {
            OutcomeRecorder recorder = code == null ? mRecorder : null;
            mIdempotency.ended(verdict, recorder == null ? null : recorder.outcome());
        }
        if (mHome == null) {
            worker().recordCall(mRoute, code, worker().nanos() - startedNanos());
        }
    }

    private boolean hasTicketOrKey() {
        return mHome != null || IdempotencyHandler.hasTicketOrKey(request());
    }

    private void attempt(Route route, EndpointLoad load) {
        mAttempts++;
        mLoad = load;
        load.callStarted();
        long deadlineMillis = hopDeadlineMillis();
        CallContext child =
                mContext.child(
                        mAttempts > 1,
                        worker().wallMillis() + deadlineMillis,
                        CallContext.step(load.endpoint().node(), route));
        HopRequest hop = HopRequest.of(route, worker().nextCallId(), deadlineMillis, child);
        if (worker().isSelf(load.endpoint().node())) {
            HttpRequest head = RequestHeads.forBackend(request(), hop, worker().signer());
            run(new BackendExchange(worker(), head, hop, this));
        } else {
            HttpRequest head = RequestHeads.forHop(request(), hop);
            run(new HopExchange(worker(), load, head, hop.callId(), this));
        }
    }

    private void run(Exchange exchange) {
        exchange(exchange);
        exchange.start();
        if (exchange == exchange()) {
            mReplay.replay(exchange);
            if (mReplay.hasContent()) {
                exchange.flush();
            }
            if (exchange.writable()) {
                requestWritable();
            }
        }
    }

    private void onForwardFailed(CallFailure failure) {
        boolean unreachable = failure.code() == ErrorCode.PEER_UNAVAILABLE;
        boolean claiming = mHome == null && !request().headers().contains(CallHeaders.TICKET);
        if (unreachable
                && claiming
                && failure.verdict() == Verdict.NOT_RUN
                && mIdempotency != null) {
            mForwarded = false;
            mIdempotency.claimHere();
        } else if (unreachable) {
            fail(
                    CallFailure.of(
                            Verdict.MAY_HAVE_RUN,
                            ErrorCode.OUTCOME_UNKNOWN,
                            "the node that holds the outcome of the request is unreachable"));
        } else {
            fail(failure);
        }
    }

    /** Chooses an endpoint that the chain of calls has not visited on this route. */
    private @Nullable EndpointLoad choose(Route route) {
        EndpointLoad load = worker().choose(route, mExcluded);
        while (load != null && mContext.visited(CallContext.step(load.endpoint().node(), route))) {
            mLoopFound = true;
            exclude(load.endpoint().node());
            load = worker().choose(route, mExcluded);
        }
        return load;
    }

    private CallFailure noEndpoint() {
        return mLoopFound
                ? CallFailure.notRun(
                        ErrorCode.LOOP,
                        "the call would visit a backend server twice on the same route")
                : new CallFailure(
                        Verdict.NOT_RUN,
                        ErrorCode.NO_BACKEND_SERVER,
                        "no backend server of the service is available",
                        NO_BACKEND_RETRY_MILLIS);
    }

    /** Returns the time allowed for the next node, less a margin so that its answer is in time. */
    private long hopDeadlineMillis() {
        long remaining = remainingMillis();
        return Math.max(
                1, remaining - Math.min(MAX_HOP_MARGIN_MILLIS, remaining / HOP_MARGIN_DIVISOR));
    }

    private boolean mayRetry(Route route, CallFailure failure) {
        return mReplay.replayable()
                && !mContext.retrying()
                && mAttempts < route.policy().attempts()
                && failure.verdict().mayRetry(route.config().idempotent())
                && isRetryable(failure.code())
                && remainingMillis() > 0;
    }

    private static boolean isRetryable(ErrorCode code) {
        return switch (code) {
            case DEADLINE_EXCEEDED, CANCELLED, RATE_LIMITED, SUSPECT_REQUEST, BAD_REQUEST -> false;
            default -> true;
        };
    }

    private void exclude(NodeId node) {
        mExcluded = new HashSet<>(mExcluded);
        mExcluded.add(node);
    }

    private void releaseLoad() {
        if (mLoad != null) {
            mLoad.callEnded();
            mLoad = null;
        }
    }
}
