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

/** Listener for calls, based on Netty. */
final class NettyCallServer implements CallServer, AutoCloseable {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(10);
    private static final int TICKS_PER_SECOND = 100;
    static final Duration MAINTENANCE_INTERVAL = Duration.ofSeconds(1);
    private static final int BACKLOG = 1_024;
    private static final long CLOSE_TIMEOUT_MILLIS = 1_000L;

    private final DataPath mPath;
    private final TimerService mTimers;
    private final AcceptThrottle mThrottle;
    private final MultiThreadIoEventLoopGroup mAcceptLoop;
    private final MultiThreadIoEventLoopGroup mEventLoops;
    private final Map<EventLoop, CallWorker> mWorkers = new HashMap<>();
    private final List<TimerService.ScheduledTask> mScheduledTasks = new ArrayList<>();
    private final CompletableFuture<Void> mDrained = new CompletableFuture<>();
    private @Nullable Channel mListener;

    NettyCallServer(DataPath path, TimerService timers) {
        mPath = path;
        mTimers = timers;
        mThrottle = new AcceptThrottle(path.settings().acceptsPerSecond() / TICKS_PER_SECOND);
        mAcceptLoop = group(1, "azurearch-call-accept");
        mEventLoops = group(path.settings().threads(), "azurearch-call");
        long seed = path.time().nanos() ^ path.identity().node().hashCode();
        for (EventExecutor executor : mEventLoops) {
            EventLoop loop = (EventLoop) executor;
            mWorkers.put(loop, new CallWorker(loop, path, seed + mWorkers.size()));
        }
        path.admission()
                .addReplacementListener(
                        () ->
                                mWorkers.values()
                                        .forEach(worker -> worker.run(worker::serverReplaced)));
    }

    /** Binds the listener. */
    void start() {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mAcceptLoop, mEventLoops)
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
        mScheduledTasks.add(mTimers.every(TICK_INTERVAL, this::tick));
        mScheduledTasks.add(
                mTimers.every(
                        MAINTENANCE_INTERVAL,
                        () ->
                                mWorkers.values()
                                        .forEach(
                                                worker ->
                                                        worker.run(worker::maintainConnections))));
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
        return mPath.callsInFlight();
    }

    @Override
    public CompletableFuture<Void> drain() {
        if (!mPath.draining()) {
            EventLog.log(CallEvent.DRAINING, mPath.callsInFlight());
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
        mScheduledTasks.forEach(TimerService.ScheduledTask::cancel);
        if (mListener != null) {
            mListener.close().syncUninterruptibly();
        }
        shutdown(mAcceptLoop);
        shutdown(mEventLoops);
        mPath.claims().close();
    }

    private void closeIdle() {
        mWorkers.values().forEach(worker -> worker.run(worker::closeWhenIdle));
        mScheduledTasks.add(mTimers.every(TICK_INTERVAL, this::completeDrain));
    }

    private void completeDrain() {
        if (mPath.callsInFlight() == 0 && mPath.connections() == 0) {
            mDrained.complete(null);
        }
    }

    private void tick() {
        mPath.admission().tick();
        Channel listener = mListener;
        if (listener != null && !mPath.draining()) {
            mThrottle.tick(listener);
        }
        if (mPath.callsInFlight() > 0) {
            mWorkers.values().forEach(worker -> worker.run(worker::expireCalls));
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

    /** Sets up a connection from a caller or a peer. */
    private final class CallerInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            CallWorker worker = mWorkers.get(channel.eventLoop());
            if (!mPath.connectionOpened() || worker == null) {
                mPath.connectionClosed();
                channel.close();
                return;
            }
            AnswerEncoder encoder = new AnswerEncoder();
            mPath.tls().addServerHandler(channel);
            channel.pipeline()
                    .addLast(new StrictRequestDecoder(mPath.requestMemory()))
                    .addLast(encoder)
                    .addLast(new CallerHandler(worker, channel, encoder));
        }
    }
}
