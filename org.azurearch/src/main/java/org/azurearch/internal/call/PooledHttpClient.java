package org.azurearch.internal.call;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import jdk.net.ExtendedSocketOptions;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.NetAddress;
import org.jspecify.annotations.Nullable;

/**
 * HTTP client of the platform's log or store with a pool of connections. A connection carries one
 * request at a time. Confined to one event loop.
 */
public final class PooledHttpClient implements AutoCloseable {
    /**
     * A reply.
     *
     * @param status the HTTP status
     * @param body the whole body
     */
    public record Reply(int status, byte[] body) {}

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** With the two probes below, detects a dead connection within 3 s during a long poll. */
    private static final int KEEP_ALIVE_SECONDS = 1;

    private static final int KEEP_ALIVE_PROBES = 2;

    /** Limit of the time for a reply that arrives slowly, in timeouts. */
    private static final int MAX_TIMEOUTS = 8;

    private final EventLoop mLoop;
    private final NetAddress mAddress;
    private final int mMaxReplyBytes;
    private final Deque<Connection> mIdleConnections = new ArrayDeque<>();
    private long mLastReadNanos = System.nanoTime();
    private boolean mClosed;

    /**
     * Creates a client, which connects with its first request.
     *
     * @param loop the event loop of the connections, on which the client is used
     * @param address the address of the server
     * @param maxReplyBytes the size of the largest body of a reply
     */
    public PooledHttpClient(EventLoop loop, NetAddress address, int maxReplyBytes) {
        mLoop = loop;
        mAddress = address;
        mMaxReplyBytes = maxReplyBytes;
    }

    /**
     * Sends a request on an idle connection, or on a new one if there is none.
     *
     * @param method the HTTP method
     * @param target path and query
     * @param body the body; empty for {@code GET}
     * @param timeoutMillis how long to wait for the reply, or for more of it, not counting the
     *     connect
     * @return the reply; fails with {@link AzurearchException} of the code {@code LOG_UNAVAILABLE}
     *     if the request was not sent, and {@code LOG_RESULT_UNKNOWN} if it has no valid reply
     */
    public CompletableFuture<Reply> send(
            HttpMethod method, String target, byte[] body, long timeoutMillis) {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, method, target, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, mAddress.name());
        if (method.equals(HttpMethod.POST)) {
            HttpUtil.setContentLength(request, body.length);
        }
        Connection idle = mIdleConnections.pollFirst();
        while (idle != null && !idle.mChannel.isActive()) {
            idle = mIdleConnections.pollFirst();
        }
        if (idle != null) {
            idle.send(request, reply, timeoutMillis);
        } else {
            connect(request, reply, timeoutMillis);
        }
        return reply;
    }

    /** Returns the {@link System#nanoTime()} at which bytes of a reply have arrived last. */
    public long lastReadNanos() {
        return mLastReadNanos;
    }

    /** Closes the connections without a request, as they may carry nothing any more. */
    public void closeIdle() {
        List<Connection> idle = List.copyOf(mIdleConnections);
        mIdleConnections.clear();
        idle.forEach(connection -> connection.mChannel.close());
    }

    @Override
    public void close() {
        mClosed = true;
        closeIdle();
    }

    private void connect(
            FullHttpRequest request, CompletableFuture<Reply> reply, long timeoutMillis) {
        new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_SECONDS)
                .option(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
                        KEEP_ALIVE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                AnswerDecoder decoder =
                                        new AnswerDecoder(HttpLimits.answerConfig());
                                Connection connection = new Connection(channel, decoder);
                                channel.pipeline()
                                        .addLast(connection.new ReadObserver())
                                        .addLast(decoder)
                                        .addLast(new HttpRequestEncoder())
                                        .addLast(new HttpObjectAggregator(mMaxReplyBytes))
                                        .addLast(connection);
                            }
                        })
                .connect(mAddress.socketAddress())
                .addListener(
                        (ChannelFutureListener)
                                connected -> {
                                    if (connected.isSuccess()) {
                                        connected
                                                .channel()
                                                .pipeline()
                                                .get(Connection.class)
                                                .send(request, reply, timeoutMillis);
                                    } else {
                                        request.release();
                                        reply.completeExceptionally(
                                                new AzurearchException(
                                                        ErrorCode.LOG_UNAVAILABLE,
                                                        "cannot connect: " + connected.cause()));
                                    }
                                });
    }

    /** A connection and its pending request, if any. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Channel mChannel;
        private final AnswerDecoder mDecoder;
        private @Nullable CompletableFuture<Reply> mPendingReply;
        private @Nullable ScheduledFuture<?> mTimeout;
        private long mSentNanos;
        private long mReadNanos;

        Connection(Channel channel, AnswerDecoder decoder) {
            mChannel = channel;
            mDecoder = decoder;
        }

        void send(FullHttpRequest request, CompletableFuture<Reply> reply, long timeoutMillis) {
            mPendingReply = reply;
            mDecoder.awaitAnswer(request.method());
            mSentNanos = System.nanoTime();
            mReadNanos = mSentNanos;
            scheduleTimeout(timeoutMillis, timeoutMillis);
            mChannel.writeAndFlush(request, mChannel.voidPromise());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (response.decoderResult().isFailure()) {
                fail("malformed reply: " + response.decoderResult().cause().getMessage());
                return;
            }
            CompletableFuture<Reply> reply = finishRequest();
            boolean stray = !mDecoder.endAnswer();
            if (reply == null || stray || !HttpUtil.isKeepAlive(response) || mClosed) {
                mChannel.close();
            } else {
                mIdleConnections.addFirst(this);
            }
            if (reply != null) {
                byte[] body = ByteBufUtil.getBytes(response.content());
                reply.complete(new Reply(response.status().code(), body));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mIdleConnections.remove(this);
            fail("connection closed before the reply");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(cause.toString());
        }

        private void scheduleTimeout(long timeoutMillis, long delayMillis) {
            mTimeout =
                    mLoop.schedule(
                            () -> checkTimeout(timeoutMillis), delayMillis, TimeUnit.MILLISECONDS);
        }

        /** A large reply may take longer on a narrow link, as long as it arrives. */
        private void checkTimeout(long timeoutMillis) {
            long now = System.nanoTime();
            long silentMillis = TimeUnit.NANOSECONDS.toMillis(now - mReadNanos);
            long totalMillis = TimeUnit.NANOSECONDS.toMillis(now - mSentNanos);
            if (silentMillis < timeoutMillis && totalMillis < timeoutMillis * MAX_TIMEOUTS) {
                scheduleTimeout(timeoutMillis, timeoutMillis - silentMillis);
            } else {
                timedOut(timeoutMillis);
            }
        }

        /** Fails the request; others that were used at the same time may be silent, too. */
        private void timedOut(long timeoutMillis) {
            closeIdle();
            fail("no reply within " + timeoutMillis + " ms");
        }

        private void fail(String reason) {
            CompletableFuture<Reply> reply = finishRequest();
            mChannel.close();
            if (reply != null) {
                reply.completeExceptionally(
                        new AzurearchException(ErrorCode.LOG_RESULT_UNKNOWN, reason));
            }
        }

        /** Cancels the timeout and returns the pending reply, or null if there is none. */
        private @Nullable CompletableFuture<Reply> finishRequest() {
            CompletableFuture<Reply> reply = mPendingReply;
            mPendingReply = null;
            if (mTimeout != null) {
                mTimeout.cancel(false);
            }
            return reply;
        }

        /** Observes bytes before they are a whole reply, which takes seconds on a narrow link. */
        private final class ReadObserver extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                mReadNanos = System.nanoTime();
                mLastReadNanos = mReadNanos;
                context.fireChannelRead(message);
            }
        }
    }
}
