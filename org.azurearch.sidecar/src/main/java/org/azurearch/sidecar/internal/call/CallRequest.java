package org.azurearch.sidecar.internal.call;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.List;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.config.RouteRule;
import org.jspecify.annotations.Nullable;

/** The request of a call, its times and what is sent of it. Confined to one event loop. */
final class CallRequest {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final FullHttpRequest mRequest;
    private final long mStartedNanos;
    private long mDeadlineNanos;
    private byte[] mBody = new byte[0];
    private List<String> mHeaders = List.of();

    CallRequest(FullHttpRequest request, long startedNanos) {
        mRequest = request;
        mStartedNanos = startedNanos;
    }

    /** Returns the request as received; its content is valid only until it is copied. */
    FullHttpRequest http() {
        return mRequest;
    }

    /** Limits the time that the call may take from its start on. */
    void limit(long millis) {
        mDeadlineNanos = mStartedNanos + millis * NANOS_PER_MILLI;
    }

    /** Copies the content, and sets the headers to forward. */
    void copy(List<String> headers) {
        mBody = ByteBufUtil.getBytes(mRequest.content());
        mHeaders = headers;
    }

    long startedNanos() {
        return mStartedNanos;
    }

    long deadlineNanos() {
        return mDeadlineNanos;
    }

    long remainingMillis() {
        return (mDeadlineNanos - System.nanoTime()) / NANOS_PER_MILLI;
    }

    long elapsedMillis() {
        return (System.nanoTime() - mStartedNanos) / NANOS_PER_MILLI;
    }

    /** Returns the call to send to a node. */
    HopCall call(long id, RouteRule route, String service, @Nullable CallerAccount account) {
        return new HopCall(
                id,
                mRequest.method().name(),
                mRequest.uri(),
                mHeaders,
                mBody,
                mDeadlineNanos,
                mStartedNanos + route.targetMillis() * NANOS_PER_MILLI,
                route.rank(),
                service,
                route.name(),
                route.idempotent(),
                account == null ? "" : account.shareName(),
                account == null ? HopCall.DEFAULT_WEIGHT : account.weight());
    }
}
