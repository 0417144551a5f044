package org.azurearch.internal.call;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.azurearch.call.CallEvent;
import org.azurearch.call.CallFailure;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.lib.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * Handles a connection from a caller or from a peer, one call at a time. Pipelined requests are
 * buffered. Confined to the connection's event loop.
 */
final class CallerHandler extends ChannelInboundHandlerAdapter {
    private static final int MAX_BACKLOG = 64;

    /** Memory of the heads in the backlog beyond which the connection is not read. */
    private static final long MAX_BACKLOG_HEAD_BYTES = 256 * 1024;

    private static final int MAX_DISCARDED_BYTES = 256 * 1024;

    private final CallWorker mWorker;
    private final Channel mChannel;
    private final AnswerEncoder mEncoder;
    private final HopHandshakeServer mHandshake;
    private final Deque<Object> mBacklog = new ArrayDeque<>();
    private @Nullable InboundCall mCall;
    private boolean mRequestEnded = true;
    private boolean mAnswerEnded = true;
    private boolean mCloseAfterCall;
    private boolean mClosing;
    private long mBacklogHeadBytes;
    private int mDiscardedBytes;
    private long mLastActivityNanos;

    CallerHandler(CallWorker worker, Channel channel, AnswerEncoder encoder) {
        mWorker = worker;
        mChannel = channel;
        mEncoder = encoder;
        mHandshake = new HopHandshakeServer(worker);
        mLastActivityNanos = worker.nanos();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mWorker.add(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        mLastActivityNanos = mWorker.nanos();
        if (!mRequestEnded || (mayBegin() && mBacklog.isEmpty())) {
            read(message);
        } else {
            mBacklog.add(message);
            mBacklogHeadBytes += headBytes(message);
            updateAutoRead(false);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (mCall != null) {
            mCall.requestFlush();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (mCall != null) {
            mCall.pauseAnswer(!mChannel.isWritable());
        }
        if (mChannel.isWritable() && !mBacklog.isEmpty()) {
            mChannel.eventLoop().execute(this::readBacklog);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mWorker.remove(this);
        mBacklog.forEach(CallerHandler::drop);
        mBacklog.clear();
        mBacklogHeadBytes = 0;
        InboundCall call = mCall;
        mCall = null;
        if (call != null) {
            call.callerDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException) {
            EventLog.log(CallEvent.CONNECTION_MALFORMED, cause.toString());
        } else if (cause instanceof RuntimeException) {
            EventLog.log(CallEvent.HANDLER_FAILED, cause, cause.toString());
        }
        mChannel.close();
    }

    /** Returns when data was last received on this connection. */
    long lastActivityNanos() {
        return mLastActivityNanos;
    }

    /** Returns whether the call in progress comes from a peer. */
    boolean fromPeer() {
        return mCall instanceof DestinationCall;
    }

    /** Returns whether a call is in progress. */
    boolean busy() {
        return mCall != null;
    }

    /** Returns whether the connection is reading a request that has not ended. */
    boolean receiving() {
        return !mRequestEnded && mChannel.config().isAutoRead();
    }

    /** Pauses or resumes reading the request's body. */
    void pauseRequest(boolean paused) {
        updateAutoRead(paused);
    }

    /** Closes the connection after the call in progress, or immediately if there is none. */
    void closeWhenIdle() {
        mCloseAfterCall = true;
        if (mCall == null) {
            closeAfter(Unpooled.EMPTY_BUFFER);
        }
    }

    /** Closes the connection once what is written, and the last message, are sent. */
    private void closeAfter(Object last) {
        if (mClosing) {
            ReferenceCountUtil.release(last);
        } else {
            mClosing = true;
            LingeringClose.after(mChannel.writeAndFlush(last));
        }
    }

    /** Closes the connection immediately, so that the caller notices a truncated answer. */
    void abort() {
        mChannel.close();
    }

    /** Writes the head of the answer to the current call. */
    void writeHead(HttpResponse head) {
        mCloseAfterCall |= mWorker.draining();
        if (mCloseAfterCall) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        mChannel.write(head, mChannel.voidPromise());
    }

    /** Writes a part of the answer's body; the last part ends the call. */
    void writeBody(HttpContent content) {
        if (content instanceof LastHttpContent) {
            mAnswerEnded = true;
            if (mRequestEnded && mCloseAfterCall) {
                mCall = null;
                closeAfter(content);
                return;
            }
            mChannel.writeAndFlush(content, mChannel.voidPromise());
            completeIfEnded();
        } else {
            mChannel.write(content, mChannel.voidPromise());
        }
    }

    void flush() {
        mChannel.flush();
    }

    boolean writable() {
        return mChannel.isWritable();
    }

    /**
     * Answers the current call with a failure.
     *
     * @param headers adds headers to the answer
     */
    void writeProblem(CallFailure failure, Consumer<HttpHeaders> headers) {
        byte[] body = ProblemAnswer.body(failure);
        HttpResponse head = ProblemAnswer.head(failure, body.length);
        headers.accept(head.headers());
        writeHead(head);
        writeBody(new DefaultLastHttpContent(Unpooled.wrappedBuffer(body)));
    }

    private void read(Object message) {
        if (message instanceof HttpRequest request) {
            begin(request);
        } else if (message instanceof HttpContent content) {
            readContent(content);
        } else {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpRequest request) {
        if (mCloseAfterCall) {
            drop(request);
            return;
        }
        String problem = RequestCheck.problem(request);
        mRequestEnded = false;
        mAnswerEnded = false;
        mDiscardedBytes = 0;
        mEncoder.withoutBody(request.method().equals(HttpMethod.HEAD));
        if (request.decoderResult().cause() instanceof RequestMemoryException) {
            refuse(request, outOfMemory());
            return;
        }
        if (problem != null) {
            refuse(request, CallFailure.notRun(ErrorCode.BAD_REQUEST, problem));
            return;
        }
        mCloseAfterCall |= !HttpUtil.isKeepAlive(request);
        if (NodeRequests.tryAnswer(request, this, mHandshake, mWorker)) {
            MeteredHeaders.release(request);
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            mChannel.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        InboundCall call = mWorker.newCall(this, request, mHandshake.authenticated());
        mCall = call;
        call.start();
    }

    /**
     * Refuses a request that was not read as a whole, and stops reading, since it is not known
     * where it ends.
     */
    private void refuse(HttpRequest request, CallFailure failure) {
        drop(request);
        mCloseAfterCall = true;
        mRequestEnded = true;
        updateAutoRead(true);
        writeProblem(failure, headers -> {});
    }

    private static CallFailure outOfMemory() {
        return new CallFailure(
                Verdict.NOT_RUN,
                ErrorCode.OVERLOADED,
                "the node holds too many large requests",
                RequestMemoryException.RETRY_MILLIS);
    }

    private static void drop(Object message) {
        if (message instanceof HttpRequest request) {
            MeteredHeaders.release(request);
        }
        ReferenceCountUtil.release(message);
    }

    private static long headBytes(Object message) {
        RequestMemory.Lease lease =
                message instanceof HttpRequest request ? MeteredHeaders.leaseOf(request) : null;
        return lease == null ? 0 : lease.bytes();
    }

    private void readContent(HttpContent content) {
        boolean malformed = content.decoderResult().isFailure();
        boolean last = content instanceof LastHttpContent;
        mRequestEnded |= last;
        if (malformed) {
            content.release();
            onMalformedBody();
        } else if (mAnswerEnded || mCall == null) {
            discard(content);
        } else {
            mCall.body(content);
        }
        if (last) {
            completeIfEnded();
        }
    }

    private void onMalformedBody() {
        mRequestEnded = true;
        mCloseAfterCall = true;
        updateAutoRead(true);
        if (mCall != null && !mAnswerEnded) {
            mCall.requestMalformed();
        } else {
            mChannel.close();
        }
    }

    private void discard(HttpContent content) {
        mDiscardedBytes += content.content().readableBytes();
        content.release();
        if (mDiscardedBytes > MAX_DISCARDED_BYTES) {
            mChannel.close();
        }
    }

    private void completeIfEnded() {
        if (!mAnswerEnded || !mRequestEnded || mCall == null) {
            return;
        }
        mCall = null;
        if (mCloseAfterCall) {
            closeAfter(Unpooled.EMPTY_BUFFER);
            return;
        }
        if (mBacklog.isEmpty()) {
            updateAutoRead(false);
        } else {
            mChannel.eventLoop().execute(this::readBacklog);
        }
    }

    private void readBacklog() {
        while (!mRequestEnded || mayBegin()) {
            Object next = mBacklog.poll();
            if (next == null) {
                break;
            }
            mBacklogHeadBytes -= headBytes(next);
            read(next);
        }
        if (mCall != null) {
            mCall.requestFlush();
        }
        updateAutoRead(false);
    }

    /** Returns whether a request may begin; not while answers to earlier ones wait to be read. */
    private boolean mayBegin() {
        return mCall == null && mChannel.isWritable();
    }

    private void updateAutoRead(boolean paused) {
        boolean read =
                !paused
                        && mBacklog.size() < MAX_BACKLOG
                        && mBacklogHeadBytes < MAX_BACKLOG_HEAD_BYTES;
        if (mChannel.isActive() && mChannel.config().isAutoRead() != read) {
            mChannel.config().setAutoRead(read);
        }
    }
}
