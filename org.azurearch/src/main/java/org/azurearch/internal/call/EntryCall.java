package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.azurearch.call.CallFailure;
import org.azurearch.call.CallHeaders;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.NodeId;
import org.azurearch.lib.Verdict;
import org.azurearch.route.EndpointLoad;
import org.azurearch.route.Route;
import org.azurearch.route.RouteTable;
import org.jspecify.annotations.Nullable;

/**
 * A call from a caller: finds its route, chooses a backend server, and tries again where it may.
 */
final class EntryCall extends InboundCall {
    private static final long DEFAULT_DEADLINE_MILLIS = 60_000L;
    private static final long NO_BACKEND_RETRY_MILLIS = 1_000L;
    private static final long MAX_HOP_MARGIN_MILLIS = 20L;
    private static final int HOP_MARGIN_PART = 10;

    private final ReplayBuffer mReplay = new ReplayBuffer();
    private @Nullable Route mRoute;
    private @Nullable EndpointLoad mLoad;
    private Set<NodeId> mTried = Set.of();
    private int mAttempts;

    EntryCall(CallerHandler caller, Lane lane, HttpRequest request) {
        super(caller, lane, request, DEFAULT_DEADLINE_MILLIS);
    }

    @Override
    void start() {
        CallFailure refusal = resolve();
        if (refusal != null) {
            fail(refusal);
        } else {
            attempt();
        }
    }

    @Override
    void decorate(HttpHeaders headers) {}

    @Override
    void onBody(HttpContent content) {
        Exchange exchange = exchange();
        if (exchange == null) {
            content.release();
            return;
        }
        mReplay.add(content);
        exchange.body(content);
    }

    @Override
    void onAnswer() {
        mReplay.discard();
        if (mLoad != null) {
            mLoad.succeeded();
        }
    }

    @Override
    void onFailure(CallFailure failure) {
        Route route = mRoute;
        EndpointLoad load = mLoad;
        if (route == null || load == null) {
            fail(failure);
            return;
        }
        lane().failed(route, load, failure);
        releaseLoad();
        if (mayRetry(route, failure)) {
            exclude(load.endpoint().node());
            attempt();
        } else {
            fail(failure);
        }
    }

    @Override
    void onEnd(Verdict verdict, @Nullable ErrorCode code) {
        mReplay.discard();
        releaseLoad();
        lane().measure(mRoute, code, lane().nanos() - startedNanos());
    }

    private @Nullable CallFailure resolve() {
        RouteTable table = lane().routes();
        if (table == null) {
            return CallFailure.notRun(
                    ErrorCode.NOT_READY, "this node holds no accepted configuration yet");
        }
        HttpHeaders headers = request().headers();
        Route route =
                table.match(
                        headers.get(CallHeaders.FIRM),
                        hostOf(headers),
                        RequestCheck.pathOf(request().uri()),
                        request().method().name());
        if (route == null) {
            return CallFailure.notRun(ErrorCode.NO_ROUTE, "no route matches the call");
        }
        mRoute = route;
        long length = HttpUtil.getContentLength(request(), 0L);
        if (length > lane().settings().maxBodyBytes()) {
            return CallFailure.notRun(ErrorCode.TOO_LARGE, "the request's body is too large");
        }
        return resolveDeadline(route, headers);
    }

    private @Nullable CallFailure resolveDeadline(Route route, HttpHeaders headers) {
        long deadlineMillis = route.config().deadline().toMillis();
        String wanted = headers.get(CallHeaders.DEADLINE_MILLIS);
        if (wanted != null) {
            try {
                deadlineMillis = Math.min(deadlineMillis, Long.parseLong(wanted));
            } catch (NumberFormatException e) {
                return CallFailure.notRun(ErrorCode.BAD_REQUEST, "malformed deadline");
            }
        }
        deadline(deadlineMillis);
        return deadlineMillis > 0
                ? null
                : CallFailure.notRun(ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed");
    }

    private void attempt() {
        Route route = mRoute;
        if (route == null) {
            return;
        }
        EndpointLoad load = lane().choose(route, mTried);
        if (load == null) {
            fail(
                    new CallFailure(
                            Verdict.NOT_RUN,
                            ErrorCode.NO_BACKEND_SERVER,
                            "no backend server of the service takes calls",
                            NO_BACKEND_RETRY_MILLIS));
            return;
        }
        if (mAttempts == 0) {
            lane().retryBudget(route).attempted(route.policy().retryBudgetPercent());
        }
        mAttempts++;
        mLoad = load;
        load.started();
        send(route, load);
    }

    private void send(Route route, EndpointLoad load) {
        long left = leftMillis();
        long margin = Math.min(MAX_HOP_MARGIN_MILLIS, left / HOP_MARGIN_PART);
        HopRequest hop = HopRequest.of(route, lane().nextCallId(), Math.max(1, left - margin));
        Exchange exchange;
        if (lane().isSelf(load.endpoint().node())) {
            HttpRequest head = RequestHeads.forBackend(request(), hop);
            exchange = new BackendExchange(lane(), head, hop, this);
        } else {
            HttpRequest head = RequestHeads.forHop(request(), hop);
            exchange = new HopExchange(lane(), load, head, hop, this);
        }
        exchange(exchange);
        exchange.start();
        if (exchange == exchange()) {
            mReplay.replay(exchange);
            exchange.flush();
        }
    }

    private boolean mayRetry(Route route, CallFailure failure) {
        return mReplay.complete()
                && mAttempts < route.policy().attempts()
                && failure.verdict().mayRetry(route.config().idempotent())
                && retriesHelp(failure.code())
                && leftMillis() > 0
                && lane().retryBudget(route).tryRetry();
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
            mLoad.ended();
            mLoad = null;
        }
    }

    private static String hostOf(HttpHeaders headers) {
        String host = headers.get(HttpHeaderNames.HOST, "");
        int colon = host.lastIndexOf(':');
        boolean port = colon > host.lastIndexOf(']');
        return (port ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
    }
}
