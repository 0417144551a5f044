package org.azurearch.internal.call;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.azurearch.call.CallEvent;
import org.azurearch.call.CallServer;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.lib.NetAddress;
import org.azurearch.time.TimerService;
import org.jspecify.annotations.Nullable;

/** The listener for calls, on Netty. */
final class NettyCallServer implements CallServer, AutoCloseable {
    private static final Duration TICK = Duration.ofMillis(10);
    private static final int TICKS_PER_SECOND = 100;
    private static final Duration SWEEP = Duration.ofSeconds(1);
    private static final int BACKLOG = 1_024;
    private static final long CLOSE_TIMEOUT_MILLIS = 1_000L;

    private final DataPath mPath;
    private final TimerService mTimers;
    private final AcceptThrottle mThrottle;
    private final MultiThreadIoEventLoopGroup mAcceptor;
    private final MultiThreadIoEventLoopGroup mLoops;
    private final Map<EventLoop, Lane> mLanes = new HashMap<>();
    private final List<TimerService.ScheduledTask> mSubscriptions = new ArrayList<>();
    private final CompletableFuture<Void> mDrained = new CompletableFuture<>();
    private @Nullable Channel mListener;

    NettyCallServer(DataPath path, TimerService timers) {
        mPath = path;
        mTimers = timers;
        mThrottle = new AcceptThrottle(path.settings().acceptsPerSecond() / TICKS_PER_SECOND);
        mAcceptor = group(1, "azurearch-call-accept");
        mLoops = group(path.settings().threads(), "azurearch-call");
        long seed = path.time().nanos() ^ path.identity().node().hashCode();
        for (EventExecutor executor : mLoops) {
            EventLoop loop = (EventLoop) executor;
            mLanes.put(loop, new Lane(loop, path, seed + mLanes.size()));
        }
    }

    /** Binds the listener. */
    void start() {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mAcceptor, mLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .handler(mThrottle)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new CallerInitializer());
        NetAddress listen = mPath.settings().listen();
        try {
            mListener = bootstrap.bind(listen.socketAddress()).syncUninterruptibly().channel();
        } catch (RuntimeException e) {
            throw new AzurearchException(
                    ErrorCode.INTERNAL, "cannot listen for calls on " + listen, e);
        }
        mSubscriptions.add(mTimers.every(TICK, this::tick));
        mSubscriptions.add(
                mTimers.every(SWEEP, () -> mLanes.values().forEach(l -> l.run(l::sweep))));
        EventLog.log(CallEvent.LISTENING, address());
    }

    @Override
    public NetAddress address() {
        Channel listener = mListener;
        if (listener == null) {
            throw new AzurearchException(ErrorCode.NOT_READY, "the listener is not bound");
        }
        InetSocketAddress bound = (InetSocketAddress) listener.localAddress();
        return new NetAddress(mPath.settings().advertise(), bound.getPort());
    }

    @Override
    public int callsInFlight() {
        return mPath.calls();
    }

    @Override
    public CompletableFuture<Void> drain() {
        if (!mPath.draining()) {
            EventLog.log(CallEvent.DRAINING, mPath.calls());
            mPath.drain();
            if (mListener != null) {
                mListener.close();
            }
            mTimers.after(mPath.settings().drainLinger(), this::closeIdle);
        }
        return mDrained;
    }

    @Override
    public void close() {
        mSubscriptions.forEach(TimerService.ScheduledTask::cancel);
        if (mListener != null) {
            mListener.close().syncUninterruptibly();
        }
        shutdown(mAcceptor);
        shutdown(mLoops);
        mPath.claims().close();
    }

    private void closeIdle() {
        mLanes.values().forEach(lane -> lane.run(lane::closeIdle));
        mSubscriptions.add(mTimers.every(TICK, this::completeDrain));
    }

    private void completeDrain() {
        if (mPath.calls() == 0) {
            mDrained.complete(null);
        }
    }

    private void tick() {
        mPath.gate().tick();
        Channel listener = mListener;
        if (listener != null && !mPath.draining()) {
            mThrottle.tick(listener);
        }
        if (mPath.calls() > 0) {
            mLanes.values().forEach(lane -> lane.run(lane::tick));
        }
    }

    private static void shutdown(MultiThreadIoEventLoopGroup group) {
        group.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .syncUninterruptibly();
    }

    private static MultiThreadIoEventLoopGroup group(int threads, String name) {
        return new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }

    /** Sets up a connection from a caller or another node. */
    private final class CallerInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            Lane lane = mLanes.get(channel.eventLoop());
            if (!mPath.connectionOpened() || lane == null) {
                mPath.connectionClosed();
                channel.close();
                return;
            }
            AnswerEncoder encoder = new AnswerEncoder();
            mPath.tls().secureServer(channel);
            channel.pipeline()
                    .addLast(new StrictRequestDecoder())
                    .addLast(encoder)
                    .addLast(new CallerHandler(lane, channel, encoder));
        }
    }
}
