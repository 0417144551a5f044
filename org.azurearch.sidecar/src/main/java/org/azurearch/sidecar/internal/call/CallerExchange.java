package org.azurearch.sidecar.internal.call;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.internal.call.MeteredHeaders;
import org.azurearch.internal.call.RequestCheck;
import org.azurearch.internal.call.RequestMemory;
import org.azurearch.internal.call.RequestMemoryException;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.call.BackendAnswer;
import org.azurearch.sidecar.internal.HeaderList;
import org.jspecify.annotations.Nullable;

/**
 * A request on a connection of a caller, and its answer. The deadline of the call counts from the
 * creation of the exchange, when the request arrives. Confined to one event loop.
 */
final class CallerExchange extends ExchangeOrder.Exchange implements CallResponder {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** Wait for the configuration to be confirmed, which takes a round trip to a peer. */
    private static final long CONFIRMATION_WAIT_MILLIS = 100;

    private final CallRouter mRouter;
    private final CallerConnection mConnection;
    private final FullHttpRequest mRequest;
    private final @Nullable String mProblem;
    private final @Nullable EntryCall mCall;
    private final String mRequestId;
    private final long mRequestBytes;
    private final boolean mKeepAlive;
    private boolean mReleased;
    private @Nullable FullHttpResponse mResponse;

    /** Creates an exchange, which releases the request once it is no longer needed. */
    CallerExchange(CallRouter router, CallerConnection connection, FullHttpRequest request) {
        mRouter = router;
        mConnection = connection;
        mRequest = request;
        mProblem = problem(request);
        String id = request.headers().get(router.dialect().requestId());
        mRequestId = id == null ? "" : id;
        RequestMemory.Lease memory = MeteredHeaders.leaseOf(request);
        mRequestBytes = request.content().readableBytes() + (memory == null ? 0 : memory.bytes());
        mKeepAlive = mProblem == null && HttpUtil.isKeepAlive(request);
        mCall = mProblem == null ? new EntryCall(router, request, this) : null;
    }

    @Override
    boolean concurrent() {
        return mCall == null || mCall.idempotent();
    }

    @Override
    long requestBytes() {
        return mRequestBytes;
    }

    /** Starts the call, after a short wait if the configuration has to be confirmed first. */
    @Override
    void start() {
        if (mCall != null && mRouter.awaitsConfirmation()) {
            mRouter.loop()
                    .schedule(this::startNow, CONFIRMATION_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            startNow();
        }
    }

    private void startNow() {
        if (mReleased) {
            return; // cancelled meanwhile
        }
        try {
            if (mCall != null) {
                mCall.start();
            } else {
                refuseMalformed();
            }
        } finally {
            releaseRequest();
        }
    }

    @Override
    void delaysOthers(int waiting) {
        if (mCall != null) {
            mCall.delaysOthers(waiting);
        }
    }

    @Override
    void withdraw() {
        if (mCall != null) {
            mCall.withdraw();
        }
    }

    @Override
    void cancel() {
        if (mCall != null) {
            mCall.cancel();
        }
        releaseRequest();
        releaseMemory();
    }

    @Override
    void write(boolean last) {
        releaseMemory();
        FullHttpResponse response = mResponse;
        if (response != null) {
            mConnection.write(response, last);
        }
    }

    @Override
    public void answer(BackendAnswer answer) {
        FullHttpResponse response = response(answer.status(), answer.body());
        HeaderList.add(response.headers(), answer.headers());
        complete(response);
    }

    @Override
    public void refuse(int status, ErrorCode code, long retryAfterMillis) {
        byte[] body = ("{\"error\":\"" + code.code() + "\"}").getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response = response(status, body);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        if (!mRequestId.isEmpty()) {
            response.headers().set(mRouter.dialect().requestId(), mRequestId);
        }
        if (retryAfterMillis > 0) {
            String seconds =
                    String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_PER_SECOND);
            response.headers().set(mRouter.dialect().retryAfter(), seconds);
        }
        complete(response);
    }

    /** The decoder's message is left out, as it may quote a header that holds a key. */
    private static @Nullable String problem(FullHttpRequest request) {
        DecoderResult decoded = request.decoderResult();
        return decoded.isFailure()
                ? "malformed request: " + decoded.cause().getClass().getSimpleName()
                : RequestCheck.problem(request);
    }

    private static FullHttpResponse response(int status, byte[] body) {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.wrappedBuffer(body));
    }

    private void refuseMalformed() {
        if (mRequest.decoderResult().cause() instanceof RequestMemoryException) {
            refuse(
                    HttpResponseStatus.SERVICE_UNAVAILABLE.code(),
                    ErrorCode.OVERLOADED,
                    RequestMemoryException.RETRY_MILLIS);
            return;
        }
        EventLog.log(SidecarEvent.CALLER_MALFORMED, mConnection.peer(), String.valueOf(mProblem));
        if (mRequest.decoderResult().cause() instanceof TooLongFrameException) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code(), ErrorCode.TOO_LARGE, 0);
        } else {
            refuse(HttpResponseStatus.BAD_REQUEST.code(), ErrorCode.BAD_REQUEST, 0);
        }
    }

    private void complete(FullHttpResponse response) {
        int bytes = response.content().readableBytes();
        HttpUtil.setContentLength(response, bytes);
        mResponse = response;
        mConnection.answered(this, !mKeepAlive, bytes);
    }

    /** Gives back the memory of the request, whose call has ended. */
    private void releaseMemory() {
        MeteredHeaders.release(mRequest);
    }

    private void releaseRequest() {
        if (!mReleased) {
            mReleased = true;
            mRequest.release();
        }
    }
}
