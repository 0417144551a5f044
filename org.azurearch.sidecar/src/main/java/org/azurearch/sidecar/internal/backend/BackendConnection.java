package org.azurearch.sidecar.internal.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import org.azurearch.sidecar.Dialect;
import org.jspecify.annotations.Nullable;

/** A connection to the backend server, with one request in flight at a time. */
final class BackendConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    /** Receives the outcome of a request. */
    interface ResponseListener {
        /** Called with the complete answer, which is released after this method returns. */
        void answered(FullHttpResponse answer);

        /** Called if the connection failed before the answer was complete. */
        void failed(String reason);
    }

    private static final String KEEP_ALIVE = "keep-alive";
    private static final String TIMEOUT = "timeout=";

    /** A timeout with more digits is longer than any connection stays idle. */
    private static final int MAX_TIMEOUT_DIGITS = 9;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final Channel mChannel;
    private final BackendConnectionPool mPool;
    private final Dialect mDialect;
    private @Nullable ResponseListener mListener;
    private String mRequestId = "";
    private int mRequests;
    private boolean mReusable = true;
    private boolean mReleasePending;
    private long mIdleSinceNanos;
    private long mServerIdleNanos = Long.MAX_VALUE;

    BackendConnection(Channel channel, BackendConnectionPool pool, Dialect dialect) {
        mChannel = channel;
        mPool = pool;
        mDialect = dialect;
    }

    /** Sends a request. */
    void send(FullHttpRequest request, ResponseListener listener) {
        mListener = listener;
        mRequests++;
        String id = request.headers().get(mDialect.requestId());
        mRequestId = id == null ? "" : id;
        mChannel.writeAndFlush(request, mChannel.voidPromise());
    }

    /**
     * Returns whether bytes that arrive now belong to no request, so that the connection must not
     * be used again: the start of an extra answer would be taken for the start of the next one.
     */
    boolean unexpectedBytes() {
        return mListener == null && !mReleasePending;
    }

    /** Drops the pending answer and closes the connection. */
    void abandon() {
        mListener = null;
        mChannel.close();
    }

    boolean active() {
        return mChannel.isActive();
    }

    long idleNanos(long nowNanos) {
        return nowNanos - mIdleSinceNanos;
    }

    /** Returns the idle timeout that the backend server announced; Long.MAX_VALUE if it did not. */
    long serverIdleNanos() {
        return mServerIdleNanos;
    }

    void close() {
        mChannel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
        ResponseListener listener = mListener;
        if (listener == null || mReleasePending) {
            mReusable = false;
            context.close();
            return;
        }
        if (answer.decoderResult().isFailure()) {
            fail("malformed answer");
            return;
        }
        String id = answer.headers().get(mDialect.requestId());
        if (id != null && !id.equals(mRequestId)) {
            mReusable = false;
            return;
        }
        if (id == null && !mRequestId.isEmpty() && mRequests > 1) {
            fail("an answer without the id of its request, which may belong to an earlier one");
            return;
        }
        updateKeepAlive(answer);
        mListener = null;
        mReleasePending = true;
        listener.answered(answer);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (mReleasePending) {
            mReleasePending = false;
            if (mReusable && mChannel.isActive()) {
                mIdleSinceNanos = System.nanoTime();
                mPool.release(this);
            } else {
                mChannel.close();
            }
        }
        context.fireChannelReadComplete();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(cause.toString());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mPool.remove(this);
        fail("connection closed");
    }

    private void fail(String reason) {
        ResponseListener listener = mListener;
        mListener = null;
        mReusable = false;
        mChannel.close();
        if (listener != null) {
            listener.failed(reason);
        }
    }

    private void updateKeepAlive(FullHttpResponse answer) {
        boolean delimitedByClose =
                !HttpUtil.isContentLengthSet(answer) && !HttpUtil.isTransferEncodingChunked(answer);
        if (!HttpUtil.isKeepAlive(answer) || delimitedByClose) {
            mReusable = false;
        }
        String value = answer.headers().get(KEEP_ALIVE);
        int at = value == null ? -1 : value.indexOf(TIMEOUT);
        if (value != null && at >= 0) {
            String digits = value.substring(at + TIMEOUT.length()).replaceAll("[^0-9].*", "");
            if (!digits.isEmpty() && digits.length() <= MAX_TIMEOUT_DIGITS) {
                mServerIdleNanos = Long.parseLong(digits) * NANOS_PER_SECOND;
            }
        }
    }
}
