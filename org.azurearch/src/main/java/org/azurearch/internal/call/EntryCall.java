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
 * A call from a caller, or one that another node has handed over because this node decides on its
 * ticket: finds its route, chooses a backend server, and tries again where it may.
 */
final class EntryCall extends InboundCall implements OnceGuard.Owner {
    private static final long NO_BACKEND_RETRY_MILLIS = 1_000L;
    private static final long MAX_HOP_MARGIN_MILLIS = 20L;
    private static final int HOP_MARGIN_PART = 10;
    private static final String REPLAYED = "azurearch-replayed";

    private final ReplayBuffer mReplay = new ReplayBuffer();
    private final @Nullable HomeRequest mHome;
    private CallContext mContext = CallContext.ROOT;
    private @Nullable Route mRoute;
    private @Nullable OnceGuard mGuard;
    private @Nullable OutcomeRecorder mRecorder;
    private @Nullable EndpointLoad mLoad;
    private Set<NodeId> mTried = Set.of();
    private int mAttempts;
    private boolean mMayHaveRun;
    private boolean mForwarded;
    private boolean mReplayed;
    private boolean mLooped;

    /**
     * Creates a call.
     *
     * @param home what another node says of the call that it hands over, or null
     */
    EntryCall(CallerHandler caller, Lane lane, HttpRequest request, @Nullable HomeRequest home) {
        super(caller, lane, request, CallResolver.DEFAULT_DEADLINE_MILLIS);
        mHome = home;
    }

    @Override
    void start() {
        CallResolver.Resolution resolution = CallResolver.resolve(lane(), request(), mHome);
        CallFailure refusal = resolution.refusal();
        Route route = resolution.route();
        mRoute = route;
        if (refusal != null || route == null) {
            CallFailure failure =
                    refusal != null ? refusal : CallFailure.notRun(ErrorCode.NO_ROUTE, "no route");
            fail(failure.withVerdict(overall(failure.verdict())));
            return;
        }
        mContext = resolution.context();
        deadline(resolution.deadlineMillis());
        if (!route.config().idempotent() && identified()) {
            OnceGuard guard = new OnceGuard(lane(), this, request(), mHome != null);
            mGuard = guard;
            guard.begin(
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
        lane().retryBudget(route).recordFirstAttempt(route.policy().retryBudgetPercent());
        attempt(route, load);
    }

    @Override
    public void forward(Member home, @Nullable String ticket) {
        if (done()) {
            return;
        }
        mForwarded = true;
        HomeRequest handed = new HomeRequest(lane().nextCallId(), hopMillis(), mContext, ticket);
        HttpRequest head = RequestHeads.forHome(request(), handed);
        run(new HopExchange(lane(), home.calls(), home.node(), head, handed.callId(), this));
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
                            "the request ran; its answer was too large to keep"));
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
     * <p>A request that can be recognised may have run before, so that only a node that remembers
     * it can say that it did not.
     */
    @Override
    Verdict overall(Verdict lastAttempt) {
        boolean idempotent = mRoute != null && mRoute.config().idempotent();
        boolean remembered = mGuard != null && mGuard.running();
        boolean unsure = mMayHaveRun || (identified() && !idempotent && !remembered);
        return lastAttempt == Verdict.NOT_RUN && unsure ? Verdict.MAY_HAVE_RUN : lastAttempt;
    }

    @Override
    void decorate(HttpHeaders headers) {
        if (mHome != null) {
            headers.set(CallHeaders.CALL_ID, mHome.callId());
        }
        if (mReplayed) {
            headers.set(REPLAYED, "true");
        }
        if (mHome == null && mRoute != null && !mRoute.config().idempotent()) {
            headers.set(CallHeaders.TICKET, lane().tickets().issue().text(lane().signer()));
        }
    }

    @Override
    boolean wantsBody() {
        Exchange exchange = exchange();
        return exchange == null ? !mReplay.filling() : exchange.writable();
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
        if (mGuard != null && mGuard.running()) {
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
    boolean runsWithoutCaller() {
        return mGuard != null && mGuard.running() && exchange() != null && bodyEnded();
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
        lane().failed(route, load, failure);
        releaseLoad();
        mMayHaveRun |= failure.verdict() != Verdict.NOT_RUN;
        exclude(load.endpoint().node());
        EndpointLoad next = mayRetry(route, failure) ? choose(route) : null;
        if (next != null && lane().retryBudget(route).tryTake()) {
            lane().retried();
            attempt(route, next);
        } else {
            fail(failure.withVerdict(overall(failure.verdict())));
        }
    }

    @Override
    void onEnd(Verdict verdict, @Nullable ErrorCode code) {
        mReplay.discard();
        releaseLoad();
        if (mGuard != null) {
            OutcomeRecorder recorder = code == null ? mRecorder : null;
            mGuard.ended(verdict, recorder == null ? null : recorder.outcome());
        }
        if (mHome == null) {
            lane().measure(mRoute, code, lane().nanos() - startedNanos());
        }
    }

    private boolean identified() {
        return mHome != null || OnceGuard.identified(request());
    }

    private void attempt(Route route, EndpointLoad load) {
        mAttempts++;
        mLoad = load;
        load.callStarted();
        long millis = hopMillis();
        CallContext below =
                mContext.below(
                        mAttempts > 1,
                        lane().wallMillis() + millis,
                        CallContext.step(load.endpoint().node(), route));
        HopRequest hop = HopRequest.of(route, lane().nextCallId(), millis, below);
        if (lane().isSelf(load.endpoint().node())) {
            HttpRequest head = RequestHeads.forBackend(request(), hop, lane().signer());
            run(new BackendExchange(lane(), head, hop, this));
        } else {
            HttpRequest head = RequestHeads.forHop(request(), hop);
            run(new HopExchange(lane(), load, head, hop.callId(), this));
        }
    }

    private void run(Exchange exchange) {
        exchange(exchange);
        exchange.start();
        if (exchange == exchange()) {
            mReplay.replay(exchange);
            if (mReplay.filled()) {
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
        if (unreachable && claiming && failure.verdict() == Verdict.NOT_RUN && mGuard != null) {
            mForwarded = false;
            mGuard.claimHere();
        } else if (unreachable) {
            fail(
                    CallFailure.of(
                            Verdict.MAY_HAVE_RUN,
                            ErrorCode.OUTCOME_UNKNOWN,
                            "the node that decides on the request cannot be reached"));
        } else {
            fail(failure);
        }
    }

    /** Chooses an endpoint that the chain of calls has not passed on this route. */
    private @Nullable EndpointLoad choose(Route route) {
        EndpointLoad load = lane().choose(route, mTried);
        while (load != null && mContext.passed(CallContext.step(load.endpoint().node(), route))) {
            mLooped = true;
            exclude(load.endpoint().node());
            load = lane().choose(route, mTried);
        }
        return load;
    }

    private CallFailure noEndpoint() {
        return mLooped
                ? CallFailure.notRun(ErrorCode.LOOP, "the call came back to where it has been")
                : new CallFailure(
                        Verdict.NOT_RUN,
                        ErrorCode.NO_BACKEND_SERVER,
                        "no backend server of the service takes calls",
                        NO_BACKEND_RETRY_MILLIS);
    }

    /** Returns the time that the next node has: a little less, so that its answer is in time. */
    private long hopMillis() {
        long left = leftMillis();
        return Math.max(1, left - Math.min(MAX_HOP_MARGIN_MILLIS, left / HOP_MARGIN_PART));
    }

    private boolean mayRetry(Route route, CallFailure failure) {
        return mReplay.complete()
                && !mContext.retrying()
                && mAttempts < route.policy().attempts()
                && failure.verdict().mayRetry(route.config().idempotent())
                && retriesHelp(failure.code())
                && leftMillis() > 0;
    }

    private static boolean retriesHelp(ErrorCode code) {
        return switch (code) {
            case DEADLINE_EXCEEDED, CANCELLED, RATE_LIMITED, SUSPECT_REQUEST, BAD_REQUEST -> false;
            default -> true;
        };
    }

    private void exclude(NodeId node) {
        mTried = new HashSet<>(mTried);
        mTried.add(node);
    }

    private void releaseLoad() {
        if (mLoad != null) {
            mLoad.callEnded();
            mLoad = null;
        }
    }
}
