package org.azurearch.sidecar.internal.call;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.ReferenceCountUtil;
import org.azurearch.events.EventLog;
import org.azurearch.internal.call.LingeringClose;
import org.azurearch.internal.call.NextPoll;
import org.azurearch.internal.call.RequestMemory;
import org.azurearch.internal.call.StrictRequestDecoder;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.internal.OpenConnections;
import org.azurearch.sidecar.internal.UnsentBytes;

/**
 * A connection of a caller. Answers its requests in their order; those that may run more than once
 * run beside each other. Confined to one event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter
        implements ReadAhead.Listener, OpenConnections.Connection {
    /** Requests are buffered completely, so that they can be retried; larger ones are refused. */
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

    private final CallRouter mRouter;
    private final CallServer mServer;
    private final SocketChannel mChannel;
    private final ReadAhead mReadAhead;
    private final StrictRequestDecoder mDecoder;
    private final RequestAggregator mAggregator;
    private final ExchangeOrder mExchanges;
    private long mIdleSinceNanos = System.nanoTime();
    private boolean mClosing;
    private long mUnwrittenBytes;
    private long mWriteProgressNanos = mIdleSinceNanos;
    private long mSweptHead;
    private int mSweepsInHead;

    CallerConnection(
            CallRouter router, CallServer server, SocketChannel channel, RequestMemory memory) {
        mRouter = router;
        mServer = server;
        mChannel = channel;
        mReadAhead = new ReadAhead(channel, memory, this);
        mDecoder = new StrictRequestDecoder(memory);
        mAggregator = new RequestAggregator(MAX_BODY_BYTES, this);
        mExchanges = new ExchangeOrder(router.callerLimits(), mReadAhead::holdsBytes);
    }

    /** Returns the handler that passes on what is read. */
    ReadAhead readAhead() {
        return mReadAhead;
    }

    /** Adds the handlers of this connection to its pipeline. */
    void install() {
        mChannel.pipeline()
                .addLast(mReadAhead)
                .addLast(mDecoder)
                .addLast(new HttpResponseEncoder())
                .addLast(mAggregator)
                .addLast(this);
    }

    @Override
    public boolean full() {
        return mExchanges.full()
                || !mChannel.isWritable()
                || (unwrittenBytes() > 0 && mServer.answersFull());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        mReadAhead.forward();
        context.fireChannelWritabilityChanged();
    }

    /** Takes further requests, if answers that were not read held them up. */
    void resume() {
        mReadAhead.forward();
    }

    /**
     * Returns whether one head has been under way at more sweeps than allowed, though it is read as
     * it comes. A pause of this process does not count, as it delays the sweeps, too.
     */
    boolean headOverdue(long allowedSweeps) {
        long head = mDecoder.heads();
        if (!mDecoder.readingHead() || full() || head != mSweptHead) {
            mSweepsInHead = 0;
        }
        mSweptHead = head;
        mSweepsInHead += mDecoder.readingHead() ? 1 : 0;
        return mSweepsInHead > allowedSweeps;
    }

    @Override
    public void readingChanged(boolean slow) {
        mRouter.log()
                .failure(
                        SidecarEvent.CALLER_READING,
                        peer(),
                        slow,
                        mExchanges.size(),
                        mExchanges.bytes(),
                        mReadAhead.heldBytes());
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mServer.opened(this);
    }

    /** Closes the connection once all requests that were read are answered. */
    void drain() {
        mExchanges.drain();
    }

    /** Refuses the calls that no backend server has been sent. */
    void withdraw() {
        mExchanges.withdraw();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof FullHttpRequest request)) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (mRouter.late()) {
            startOnceReadToItsEnd();
        }
        mExchanges.add(new CallerExchange(mRouter, this, request));
    }

    /**
     * Starts nothing before the next turn of the event loop, in which a close that is already in
     * the socket is read.
     */
    private void startOnceReadToItsEnd() {
        mExchanges.hold();
        NextPoll.runAfter(mChannel.eventLoop(), mExchanges::resume);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mServer.closed(this);
        mExchanges.closed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof PrematureChannelClosureException) {
            mRouter.log().failure(SidecarEvent.CALLER_MALFORMED, peer(), "closed within a request");
        } else if (cause instanceof RuntimeException || cause instanceof Error) {
            EventLog.log(SidecarEvent.HANDLER_FAILED, cause, "caller", cause.toString());
        }
        close("failed: " + cause.getClass().getSimpleName());
    }

    /** Gives an exchange its answer, which is written in its turn. */
    void answered(CallerExchange exchange, boolean closes, long bytes) {
        mExchanges.answered(exchange, closes, bytes);
        if (mExchanges.isEmpty()) {
            mIdleSinceNanos = System.nanoTime();
        }
        mReadAhead.forward();
    }

    /** Writes an answer whose turn it is. */
    void write(FullHttpResponse response, boolean last) {
        if (last) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            mClosing = true;
            LingeringClose.after(mChannel.writeAndFlush(response));
        } else {
            mChannel.writeAndFlush(response, mChannel.voidPromise());
        }
    }

    @Override
    public boolean inUse() {
        return !mExchanges.isEmpty() || unwrittenBytes() > 0;
    }

    @Override
    public long unusedSinceNanos() {
        return mIdleSinceNanos;
    }

    @Override
    public String peer() {
        return String.valueOf(mChannel.remoteAddress());
    }

    /** Returns whether the last answer is given, so that the connection closes by itself. */
    boolean closing() {
        return mClosing;
    }

    /** Returns whether no call is running. */
    boolean idle() {
        return mExchanges.isEmpty();
    }

    long idleNanos(long nowNanos) {
        return nowNanos - mIdleSinceNanos;
    }

    /** Returns the bytes of answers that the caller has not read or whose turn has not come. */
    long heldBytes() {
        return mExchanges.answerBytes() + unwrittenBytes();
    }

    /** Returns how long the caller has read nothing although answers wait for it. */
    long stalledNanos(long nowNanos) {
        long unwritten = unwrittenBytes();
        if (unwritten == 0 || unwritten != mUnwrittenBytes) {
            mUnwrittenBytes = unwritten;
            mWriteProgressNanos = nowNanos;
        }
        return nowNanos - mWriteProgressNanos;
    }

    /** Closes the connection; logs the reason if the caller awaits answers. */
    @Override
    public void close(String reason) {
        long unsentBytes = unwrittenBytes();
        if (!mExchanges.isEmpty() || unsentBytes > 0) {
            mRouter.log()
                    .failure(
                            SidecarEvent.CALLER_CLOSED,
                            peer(),
                            reason,
                            mExchanges.size(),
                            unsentBytes);
        }
        mChannel.close();
    }

    /** Returns the bytes of answers that were given to the connection and not sent yet. */
    long unwrittenBytes() {
        return UnsentBytes.of(mChannel);
    }
}
