package org.azurearch.standin.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.azurearch.events.EventLog;
import org.azurearch.lib.NetAddress;
import org.azurearch.standin.StandinEvent;
import org.jspecify.annotations.Nullable;

/** HTTP/1.1 server with keep-alive that passes complete requests to a handler. */
public final class HttpServer implements AutoCloseable {
    private static final int BACKLOG = 4_096;
    private static final int BAD_REQUEST = 400;
    private static final int INTERNAL_ERROR = 500;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000L;

    private final EventLoopGroup mEventLoops;
    private final ChannelGroup mConnections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private final Channel mListener;

    private HttpServer(NetAddress listen, Limits limits, HttpHandler handler) {
        mEventLoops =
                new MultiThreadIoEventLoopGroup(
                        limits.threads(),
                        new DefaultThreadFactory("standin-http", true),
                        NioIoHandler.newFactory());
        mListener = bind(listen, limits, handler);
    }

    /**
     * Limits of a server.
     *
     * @param threads the number of event loop threads, at least 1
     * @param maxBodyBytes the maximum size of a request body; a larger one is answered with 413
     * @param maxConnections the maximum number of connections; further ones are closed at once
     */
    public record Limits(int threads, int maxBodyBytes, int maxConnections) {}

    /**
     * Starts a server.
     *
     * @param listen the address to listen on; port 0 selects an ephemeral port
     */
    public static HttpServer start(NetAddress listen, Limits limits, HttpHandler handler) {
        return new HttpServer(listen, limits, handler);
    }

    /** Returns the address that the server listens on. */
    public NetAddress address() {
        InetSocketAddress bound = (InetSocketAddress) mListener.localAddress();
        return new NetAddress(bound.getAddress().getHostAddress(), bound.getPort());
    }

    /** Returns how many connections are open. */
    public int connections() {
        return mConnections.size();
    }

    /** Returns the event loops, so that the owner of the server can schedule timers on them. */
    public EventLoopGroup eventLoops() {
        return mEventLoops;
    }

    /** Stops listening; open connections stay open. */
    public void stopListening() {
        mListener.close().syncUninterruptibly();
    }

    /** Closes all connections at once and stops the event loops. */
    @Override
    public void close() {
        if (mClosed.getAndSet(true)) {
            return;
        }
        mListener.close().syncUninterruptibly();
        mConnections.close().awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
        mEventLoops.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private Channel bind(NetAddress listen, Limits limits, HttpHandler handler) {
        return new ServerBootstrap()
                .group(mEventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new Initializer(limits, handler))
                .bind(listen.socketAddress())
                .syncUninterruptibly()
                .channel();
    }

    private final class Initializer extends ChannelInitializer<Channel> {
        private final Limits mLimits;
        private final HttpHandler mHandler;

        Initializer(Limits limits, HttpHandler handler) {
            mLimits = limits;
            mHandler = handler;
        }

        @Override
        protected void initChannel(Channel channel) {
            if (mConnections.size() >= mLimits.maxConnections()) {
                channel.close();
                return;
            }
            mConnections.add(channel);
            channel.pipeline().addLast(new HttpServerCodec());
            channel.pipeline().addLast(new HttpObjectAggregator(mLimits.maxBodyBytes(), true));
            channel.pipeline().addLast(new RequestChannelHandler(mHandler));
        }
    }

    private static final class RequestChannelHandler
            extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final HttpHandler mHandler;
        private @Nullable HttpCall mLastCall;

        RequestChannelHandler(HttpHandler handler) {
            mHandler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            HttpCall call =
                    new HttpCall(
                            context.channel(),
                            request.method().name(),
                            request.uri(),
                            request.headers(),
                            ByteBufUtil.getBytes(request.content()),
                            HttpUtil.isKeepAlive(request),
                            mLastCall == null);
            mLastCall = call;
            if (request.decoderResult().isFailure()) {
                call.reply(HttpReply.problem(BAD_REQUEST, "malformed HTTP message"));
                return;
            }
            try {
                mHandler.handle(call);
            } catch (RuntimeException e) {
                EventLog.log(StandinEvent.HANDLER_FAILED, e, call.path(), e.toString());
                call.reply(HttpReply.problem(INTERNAL_ERROR, e.toString()));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (mLastCall != null) {
                mLastCall.disconnected();
            }
            context.fireChannelInactive();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            boolean callerDisconnected =
                    cause instanceof IOException
                            || cause instanceof PrematureChannelClosureException;
            if (!callerDisconnected) {
                EventLog.log(StandinEvent.CONNECTION_FAILED, cause, cause.toString());
            }
            context.close();
        }
    }
}
