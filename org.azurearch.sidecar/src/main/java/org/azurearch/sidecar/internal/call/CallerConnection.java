package org.azurearch.sidecar.internal.call;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.internal.call.RequestCheck;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.call.BackendAnswer;
import org.azurearch.sidecar.internal.HeaderList;
import org.jspecify.annotations.Nullable;

/**
 * A connection of a caller. Runs one call at a time and queues pipelined requests. Confined to one
 * event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements EntryCall.Responder {
    /** Maximum number of pipelined requests waiting; callers rarely pipeline. */
    private static final int MAX_PIPELINED = 16;

    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final int BAD_REQUEST = HttpResponseStatus.BAD_REQUEST.code();

    private final CallRouter mRouter;
    private final CallServer mServer;
    private final Channel mChannel;
    private final Deque<FullHttpRequest> mPipelined = new ArrayDeque<>();
    private @Nullable EntryCall mCall;
    private String mRequestId = "";
    private boolean mCloseAfter;
    private long mIdleSinceNanos = System.nanoTime();

    CallerConnection(CallRouter router, CallServer server, Channel channel) {
        mRouter = router;
        mServer = server;
        mChannel = channel;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mServer.opened(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof FullHttpRequest request)) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (mCall == null && mPipelined.isEmpty()) {
            begin(request);
        } else if (mPipelined.size() < MAX_PIPELINED) {
            mPipelined.add(request);
        } else {
            request.release();
            mChannel.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mServer.closed(this);
        mPipelined.forEach(ReferenceCountUtil::release);
        mPipelined.clear();
        EntryCall call = mCall;
        mCall = null;
        if (call != null) {
            call.cancel();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof RuntimeException) {
            EventLog.log(SidecarEvent.HANDLER_FAILED, cause, "caller", cause.toString());
        }
        context.close();
    }

    @Override
    public void answer(BackendAnswer answer) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(answer.status()),
                        Unpooled.wrappedBuffer(answer.body()));
        HeaderList.add(response.headers(), answer.headers());
        write(response);
    }

    @Override
    public void refuse(int status, ErrorCode code, long retryAfterMillis) {
        byte[] body = ("{\"error\":\"" + code.code() + "\"}").getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        if (!mRequestId.isEmpty()) {
            response.headers().set(mRouter.dialect().requestId(), mRequestId);
        }
        if (retryAfterMillis > 0) {
            String seconds =
                    String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_PER_SECOND);
            response.headers().set(mRouter.dialect().retryAfter(), seconds);
        }
        write(response);
    }

    /** Returns whether no call is running. */
    boolean idle() {
        return mCall == null;
    }

    long idleNanos(long nowNanos) {
        return nowNanos - mIdleSinceNanos;
    }

    void close() {
        mChannel.close();
    }

    private void begin(FullHttpRequest request) {
        String problem = RequestCheck.problem(request);
        if (problem != null) {
            request.release();
            EventLog.log(SidecarEvent.CALLER_MALFORMED, mChannel.remoteAddress(), problem);
            mCloseAfter = true;
            refuse(BAD_REQUEST, ErrorCode.BAD_REQUEST, 0);
            return;
        }
        String id = request.headers().get(mRouter.dialect().requestId());
        mRequestId = id == null ? "" : id;
        mCloseAfter = !HttpUtil.isKeepAlive(request);
        EntryCall call = new EntryCall(mRouter, request, this);
        mCall = call;
        try {
            call.start();
        } finally {
            request.release();
        }
    }

    private void write(FullHttpResponse response) {
        mCall = null;
        mIdleSinceNanos = System.nanoTime();
        HttpUtil.setContentLength(response, response.content().readableBytes());
        boolean close = mCloseAfter || mServer.draining();
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            mChannel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        mChannel.writeAndFlush(response, mChannel.voidPromise());
        FullHttpRequest next = mPipelined.poll();
        if (next != null) {
            mRouter.loop().execute(() -> beginNext(next));
        }
    }

    private void beginNext(FullHttpRequest next) {
        if (mChannel.isActive()) {
            begin(next);
        } else {
            next.release();
        }
    }
}
