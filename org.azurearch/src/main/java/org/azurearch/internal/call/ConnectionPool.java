package org.azurearch.internal.call;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.azurearch.lib.NetAddress;
import org.azurearch.time.TimeSource;
import org.jspecify.annotations.Nullable;

/** Pool of keep-alive connections to one address. Confined to its event loop. */
final class ConnectionPool {
    private static final long MAX_IDLE_NANOS = Duration.ofSeconds(45).toNanos();

    private final NetAddress mAddress;
    private final EventLoop mEventLoop;
    private final ConnectionLimit mLimit;
    private final TimeSource mTime;
    private final Bootstrap mBootstrap;
    private final ConnectionSetup mSetup;
    private final Deque<UpstreamConnection> mIdle = new ArrayDeque<>();
    private final Set<UpstreamConnection> mConnections = new HashSet<>();
    private int mOpen;
    private boolean mClosed;

    ConnectionPool(
            NetAddress address,
            EventLoop eventLoop,
            ConnectionLimit limit,
            ConnectionSetup setup,
            TimeSource time) {
        mAddress = address;
        mEventLoop = eventLoop;
        mLimit = limit;
        mSetup = setup;
        mTime = time;
        mBootstrap =
                new Bootstrap()
                        .group(eventLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, setup.connectTimeoutMillis())
                        .handler(new CodecInitializer());
    }

    /**
     * Passes a connection to the exchange: an idle one immediately, otherwise a new one once it is
     * set up. If there is none, {@link UpstreamExchange#onNoConnection} is called.
     */
    void acquire(UpstreamExchange exchange) {
        UpstreamConnection idle = pollIdle();
        if (idle != null) {
            exchange.onConnection(idle);
            return;
        }
        if (mClosed || !mLimit.tryAcquire()) {
            exchange.onNoConnection("no connection to " + mAddress + " is free");
            return;
        }
        open(exchange);
    }

    /** Opens connections until at least the given number is open or the limit is reached. */
    void openAtLeast(int connections) {
        while (!mClosed && mOpen < connections && mLimit.tryAcquire()) {
            open(null);
        }
    }

    /** Returns a reusable connection to the pool. */
    void release(UpstreamConnection connection) {
        if (mClosed || !connection.channel().isActive()) {
            connection.channel().close();
            return;
        }
        connection.idleSinceNanos(mTime.nanos());
        mIdle.push(connection);
    }

    /** Removes a closed connection from the pool. */
    void onClosed(UpstreamConnection connection) {
        mIdle.remove(connection);
        mConnections.remove(connection);
        mOpen--;
        mLimit.release();
    }

    /**
     * Closes connections that have been idle for too long.
     *
     * @param keep the number of idle connections that stay open regardless
     */
    void closeIdle(int keep) {
        long now = mTime.nanos();
        while (mIdle.size() > keep && now - mIdle.peekLast().idleSinceNanos() > MAX_IDLE_NANOS) {
            mIdle.removeLast().channel().close();
        }
    }

    /** Returns the number of connections that are open or being opened. */
    int open() {
        return mOpen;
    }

    /** Closes idle connections now and connections in use after use; no more are handed out. */
    void close() {
        mClosed = true;
        for (UpstreamConnection idle = mIdle.poll(); idle != null; idle = mIdle.poll()) {
            idle.channel().close();
        }
    }

    /** Closes the connections in use, whose exchanges fail. */
    void closeUsed() {
        List.copyOf(mConnections).forEach(connection -> connection.channel().close());
    }

    private @Nullable UpstreamConnection pollIdle() {
        UpstreamConnection idle = mIdle.poll();
        while (idle != null && !idle.channel().isActive()) {
            idle = mIdle.poll();
        }
        return idle;
    }

    private void open(@Nullable UpstreamExchange exchange) {
        mOpen++;
        ChannelFuture connecting = mBootstrap.connect(mAddress.socketAddress());
        connecting.addListener(
                done -> {
                    if (done.isSuccess()) {
                        mSetup.prepare(
                                connecting.channel(),
                                failure -> onPrepared(connecting.channel(), exchange, failure));
                    } else {
                        mOpen--;
                        mLimit.release();
                        onConnectFailed(exchange, String.valueOf(done.cause().getMessage()));
                    }
                });
    }

    private void onPrepared(
            Channel channel, @Nullable UpstreamExchange exchange, @Nullable String failure) {
        AnswerDecoder decoder = channel.pipeline().get(AnswerDecoder.class);
        if (failure != null || mClosed || !channel.isActive() || !decoder.endAnswer()) {
            mOpen--;
            mLimit.release();
            channel.close();
            onConnectFailed(exchange, failure == null ? "connection closed" : failure);
            return;
        }
        UpstreamConnection connection = new UpstreamConnection(this, channel, decoder);
        mConnections.add(connection);
        channel.pipeline().addLast(connection);
        if (exchange == null) {
            release(connection);
        } else {
            exchange.onConnection(connection);
        }
    }

    private void onConnectFailed(@Nullable UpstreamExchange exchange, String reason) {
        if (exchange != null) {
            exchange.onNoConnection("no connection to " + mAddress + ": " + reason);
        }
    }

    /** Installs TLS and the HTTP codec on a new connection. */
    private final class CodecInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            mSetup.addTlsHandler(channel);
            AnswerDecoder decoder = new AnswerDecoder(HttpLimits.answerConfig());
            decoder.awaitAnswer(HttpMethod.GET); // for a handshake
            channel.pipeline().addLast(decoder).addLast(new HttpRequestEncoder());
        }
    }
}
