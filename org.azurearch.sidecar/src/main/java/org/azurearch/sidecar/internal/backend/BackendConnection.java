package org.azurearch.sidecar.internal.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import org.azurearch.internal.call.AnswerAttribution;
import org.azurearch.internal.call.AnswerDecoder;
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

    /** Digits of a time-out in seconds that is shorter than the longest time in nanoseconds. */
    private static final int MAX_TIMEOUT_DIGITS = 9;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final Channel mChannel;
    private final BackendConnectionPool mPool;
    private final Dialect mDialect;
    private final AnswerDecoder mDecoder;
    private final AnswerReader mReader;
    private final AnswerAttribution mAttribution = AnswerAttribution.byCallerIds();
    private @Nullable ResponseListener mListener;
    private boolean mReusable = true;
    private boolean mReleasePending;
    private long mIdleSinceNanos;
    private long mServerIdleNanos = Long.MAX_VALUE;

    BackendConnection(
            Channel channel,
            BackendConnectionPool pool,
            Dialect dialect,
            AnswerDecoder decoder,
            AnswerReader reader) {
        mChannel = channel;
        mPool = pool;
        mDialect = dialect;
        mDecoder = decoder;
        mReader = reader;
    }

    /** Sends a request. */
    void send(FullHttpRequest request, ResponseListener listener) {
        mListener = listener;
        mDecoder.awaitAnswer(request.method());
        mAttribution.sent(request.headers().get(mDialect.requestId()));
        mChannel.writeAndFlush(request, mChannel.voidPromise());
    }

    /**
     * Returns whether the answer to a request could be told from copies of earlier answers.
     *
     * @param id the request's id, or null if it has none
     */
    boolean mayCarry(@Nullable String id) {
        return mAttribution.mayCarry(id);
    }

    /** Returns whether an answer states that the request was not run. */
    static boolean refuses(Dialect dialect, FullHttpResponse answer) {
        HttpResponseStatus status = answer.status();
        return status.codeClass() != HttpStatusClass.SUCCESS
                && (answer.headers().contains(dialect.notRun())
                        || status.code() == HttpResponseStatus.MISDIRECTED_REQUEST.code());
    }

    /** Drops the pending answer and closes the connection. */
    void abandon() {
        mListener = null;
        close();
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
        mReader.answerEnded();
        mChannel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
        ResponseListener listener = mListener;
        if (listener == null || mReleasePending) {
            mReusable = false;
            close();
            return;
        }
        if (answer.decoderResult().isFailure()) {
            fail("malformed answer");
            return;
        }
        switch (owner(answer)) {
            case PENDING -> {
                updateKeepAlive(answer);
                mReusable &= mDecoder.endAnswer() && mAttribution.reusable();
                mListener = null;
                mReleasePending = true;
                mReader.answerEnded();
                listener.answered(answer);
            }
            case UNKNOWN -> fail("an answer that may belong to another request");
            default -> mReusable = false;
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (mReleasePending) {
            mReleasePending = false;
            if (mReusable && mChannel.isActive()) {
                mIdleSinceNanos = System.nanoTime();
                mPool.release(this);
            } else {
                close();
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

    private AnswerAttribution.Owner owner(FullHttpResponse answer) {
        return mAttribution.owner(
                answer.headers().getAll(mDialect.requestId()), refuses(mDialect, answer));
    }

    private void fail(String reason) {
        ResponseListener listener = mListener;
        mListener = null;
        mReusable = false;
        close();
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
            if (!digits.isEmpty()) {
                mServerIdleNanos =
                        digits.length() > MAX_TIMEOUT_DIGITS
                                ? Long.MAX_VALUE
                                : Long.parseLong(digits) * NANOS_PER_SECOND;
            }
        }
    }
}
