package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Locale;
import java.util.Optional;
import org.azurearch.call.CallFailure;
import org.azurearch.call.CallHeaders;
import org.azurearch.errors.ErrorCode;
import org.azurearch.route.Route;
import org.azurearch.route.RouteTable;
import org.jspecify.annotations.Nullable;

/** Determines the route, the context and the deadline of a call. */
final class CallResolver {
    /** The time allowed for a call until its route is determined, in milliseconds. */
    static final long DEFAULT_DEADLINE_MILLIS = 60_000L;

    /**
     * The result of the resolution.
     *
     * @param route the route, or null when none matched
     * @param context the context of the call
     * @param deadlineMillis the time allowed for the call
     * @param refusal the failure to answer with, or null when the call may go on
     */
    record Resolution(
            @Nullable Route route,
            CallContext context,
            long deadlineMillis,
            @Nullable CallFailure refusal) {
        static Resolution refused(@Nullable Route route, ErrorCode code, String detail) {
            return new Resolution(
                    route,
                    CallContext.ROOT,
                    DEFAULT_DEADLINE_MILLIS,
                    CallFailure.notRun(code, detail));
        }
    }

    private CallResolver() {}

    /**
     * Resolves a call.
     *
     * @param home the context and deadline that the forwarding node resolved, or null when the call
     *     comes from a caller
     */
    static Resolution resolve(CallWorker worker, HttpRequest request, @Nullable HomeRequest home) {
        RouteTable table = worker.routes();
        if (table == null) {
            return Resolution.refused(
                    null, ErrorCode.NOT_READY, "this node holds no accepted configuration yet");
        }
        HttpHeaders headers = request.headers();
        Route route =
                table.match(
                        headers.get(CallHeaders.FIRM),
                        hostOf(headers),
                        RequestCheck.pathOf(request.uri()),
                        request.method().name());
        if (route == null) {
            return Resolution.refused(null, ErrorCode.NO_ROUTE, "no route matches the call");
        }
        if (HttpUtil.getContentLength(request, 0L) > worker.settings().maxBodyBytes()) {
            return Resolution.refused(route, ErrorCode.TOO_LARGE, "the body is too large");
        }
        return home != null
                ? new Resolution(route, home.context(), home.deadlineMillis(), null)
                : withContext(worker, route, headers);
    }

    private static Resolution withContext(CallWorker worker, Route route, HttpHeaders headers) {
        String text = headers.get(CallHeaders.CONTEXT);
        Optional<CallContext> context = CallContext.fromString(worker.signer(), text);
        if (text != null && context.isEmpty()) {
            return Resolution.refused(route, ErrorCode.BAD_REQUEST, "malformed call context");
        }
        CallContext parent = context.orElse(CallContext.ROOT);
        if (parent.depth() >= CallContext.MAX_DEPTH) {
            return Resolution.refused(
                    route,
                    ErrorCode.TOO_DEEP,
                    "the chain of calls is deeper than " + CallContext.MAX_DEPTH);
        }
        long requestedMillis = parseDeadlineMillis(headers.get(CallHeaders.DEADLINE_MILLIS));
        if (requestedMillis < 0) {
            return Resolution.refused(route, ErrorCode.BAD_REQUEST, "malformed deadline");
        }
        long parentMillis = parent.deadlineMillis() - worker.wallMillis();
        long deadlineMillis =
                Math.min(
                        route.config().deadline().toMillis(),
                        Math.min(requestedMillis, parentMillis));
        return deadlineMillis > 0
                ? new Resolution(route, parent, deadlineMillis, null)
                : Resolution.refused(
                        route, ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed already");
    }

    private static long parseDeadlineMillis(@Nullable String text) {
        if (text == null) {
            return Long.MAX_VALUE;
        }
        try {
            return Long.parseLong(text.trim());
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static String hostOf(HttpHeaders headers) {
        String host = headers.get(HttpHeaderNames.HOST, "");
        int colon = host.lastIndexOf(':');
        boolean hasPort = colon > host.lastIndexOf(']');
        return (hasPort ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
    }
}
