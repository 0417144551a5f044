package org.azurearch.standin.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.azurearch.lib.NetAddress;
import org.jspecify.annotations.Nullable;

/** Forwards TCP connections to a target and injects faults. */
public final class FaultProxy implements AutoCloseable {
    private static final int THREADS = 2;
    private static final int BACKLOG = 1_024;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000L;

    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(
                    THREADS,
                    new DefaultThreadFactory("fault-proxy", true),
                    NioIoHandler.newFactory());
    private final ChannelGroup mChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicLong mReceivedBytes = new AtomicLong();
    private final AtomicInteger mAccepted = new AtomicInteger();
    private final CrossedAnswers mCrossed = new CrossedAnswers();
    private final Channel mListener;
    private volatile NetAddress mTarget;
    private volatile FaultPlan mPlan = connection -> ProxyFault.NONE;
    private volatile int mPlanRevision;

    private FaultProxy(NetAddress listen, NetAddress target) {
        mTarget = target;
        mListener =
                new ServerBootstrap()
                        .group(mEventLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(new Acceptor())
                        .bind(listen.socketAddress())
                        .syncUninterruptibly()
                        .channel();
    }

    /** Starts a proxy on an ephemeral loopback port, without faults. */
    public static FaultProxy start(NetAddress target) {
        return start(new NetAddress("127.0.0.1", 0), target);
    }

    /** Starts a proxy on a given address, without faults. */
    public static FaultProxy start(NetAddress listen, NetAddress target) {
        return new FaultProxy(listen, target);
    }

    /** Returns the address that callers connect to. */
    public NetAddress address() {
        InetSocketAddress bound = (InetSocketAddress) mListener.localAddress();
        return new NetAddress(bound.getAddress().getHostAddress(), bound.getPort());
    }

    /** Sets the target of new connections. */
    public void setTarget(NetAddress target) {
        mTarget = target;
    }

    /** Sets the fault of all connections, including open ones. */
    public void setFault(ProxyFault fault) {
        setPlan(connection -> fault);
    }

    /** Sets the plan that chooses the fault of each connection, including open ones. */
    public synchronized void setPlan(FaultPlan plan) {
        mPlan = plan;
        mPlanRevision++;
    }

    /** Closes all connections; the proxy keeps accepting new ones. */
    public void closeConnections() {
        mChannels.close().awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
    }

    /** Returns how many connections were accepted since the start. */
    public int acceptedConnections() {
        return mAccepted.get();
    }

    /** Returns how many bytes have arrived since the start, from callers and the target. */
    public long receivedBytes() {
        return mReceivedBytes.get();
    }

    @Override
    public void close() {
        mListener.close().syncUninterruptibly();
        closeConnections();
        mEventLoops.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private final class Acceptor extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel caller) {
            mChannels.add(caller);
            CurrentFault fault = new CurrentFault(mAccepted.getAndIncrement());
            LegHandler fromTarget = new LegHandler();
            ChannelFuture connecting =
                    new Bootstrap()
                            .group(caller.eventLoop())
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .option(ChannelOption.AUTO_READ, false)
                            .handler(fromTarget)
                            .connect(mTarget.socketAddress());
            LegHandler fromCaller = new LegHandler();
            caller.pipeline().addLast(fromCaller);
            connecting.addListener(
                    future -> {
                        if (future.isSuccess()) {
                            connectLegs(
                                    caller, connecting.channel(), fault, fromCaller, fromTarget);
                        } else {
                            caller.close();
                        }
                    });
        }

        private void connectLegs(
                Channel caller,
                Channel target,
                CurrentFault fault,
                LegHandler fromCaller,
                LegHandler fromTarget) {
            mChannels.add(target);
            Runnable closeBoth =
                    () -> {
                        caller.close();
                        target.close();
                    };
            caller.closeFuture().addListener(future -> mCrossed.remove(caller));
            fromCaller.setLeg(
                    new ProxyLeg(
                            caller.eventLoop(),
                            () -> fault.current().request(),
                            target,
                            closeBoth,
                            mCrossed));
            fromTarget.setLeg(
                    new ProxyLeg(
                            caller.eventLoop(),
                            () -> fault.current().answer(),
                            caller,
                            closeBoth,
                            mCrossed));
            caller.config().setAutoRead(true);
            target.config().setAutoRead(true);
        }
    }

    /** The fault of one connection under the current plan. */
    private final class CurrentFault {
        private final int mConnectionIndex;
        private int mFaultRevision = -1;
        private ProxyFault mFault = ProxyFault.NONE;

        CurrentFault(int connection) {
            mConnectionIndex = connection;
        }

        ProxyFault current() {
            int revision = mPlanRevision;
            if (revision != mFaultRevision) {
                mFaultRevision = revision;
                mFault = mPlan.faultOf(mConnectionIndex);
            }
            return mFault;
        }
    }

    /** Passes the bytes and the close of a channel to its leg. */
    private final class LegHandler extends ChannelInboundHandlerAdapter {
        private volatile @Nullable ProxyLeg mLeg;

        void setLeg(ProxyLeg leg) {
            mLeg = leg;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            mReceivedBytes.addAndGet(bytes.readableBytes());
            Objects.requireNonNull(mLeg).forward(bytes);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            ProxyLeg leg = mLeg;
            if (leg != null) {
                leg.senderClosed();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
