package org.azurearch.standin.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.azurearch.lib.NetAddress;

/**
 * Minimal HTTP relay on Netty's codec, the baseline for the cost of a hop. It opens one connection
 * to the target per accepted connection and forwards messages in chunks, without routing or checks.
 */
public final class BareRelay implements AutoCloseable {
    private static final int THREADS = 2;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 1_000L;

    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(
                    THREADS,
                    new DefaultThreadFactory("bare-relay", true),
                    NioIoHandler.newFactory());
    private final NetAddress mTarget;
    private final Channel mListener;

    private BareRelay(NetAddress target) {
        mTarget = target;
        mListener =
                new ServerBootstrap()
                        .group(mEventLoops)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(new Acceptor())
                        .bind("127.0.0.1", 0)
                        .syncUninterruptibly()
                        .channel();
    }

    /** Starts a relay to a target on an ephemeral loopback port. */
    public static BareRelay start(NetAddress target) {
        return new BareRelay(target);
    }

    /** Returns the address that callers connect to. */
    public NetAddress address() {
        return new NetAddress(
                "127.0.0.1", ((InetSocketAddress) mListener.localAddress()).getPort());
    }

    @Override
    public void close() {
        mListener.close().syncUninterruptibly();
        mEventLoops.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private final class Acceptor extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel caller) {
            ChannelFuture connecting =
                    new Bootstrap()
                            .group(caller.eventLoop())
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .handler(new TargetInitializer(caller))
                            .connect(mTarget.socketAddress());
            caller.pipeline().addLast(new HttpServerCodec());
            caller.pipeline().addLast(new ForwardingHandler(connecting.channel()));
            connecting.addListener(
                    future -> {
                        if (future.isSuccess()) {
                            caller.config().setAutoRead(true);
                        } else {
                            caller.close();
                        }
                    });
        }
    }

    private static final class TargetInitializer extends ChannelInitializer<Channel> {
        private final Channel mCaller;

        TargetInitializer(Channel caller) {
            mCaller = caller;
        }

        @Override
        protected void initChannel(Channel target) {
            target.pipeline().addLast(new HttpClientCodec());
            target.pipeline().addLast(new ForwardingHandler(mCaller));
        }
    }

    /** Forwards messages to another channel. */
    private static final class ForwardingHandler extends ChannelInboundHandlerAdapter {
        private final Channel mReceiver;

        ForwardingHandler(Channel receiver) {
            mReceiver = receiver;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            mReceiver.write(message, mReceiver.voidPromise());
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            mReceiver.flush();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mReceiver.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
