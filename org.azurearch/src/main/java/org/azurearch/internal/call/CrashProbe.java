package org.azurearch.internal.call;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.azurearch.lib.NetAddress;
import org.azurearch.time.TimerService;

/**
 * Finds out whether a backend server that lost a connection has died: it is asked for a connection
 * soon after, before a supervisor can have started it again, and once more a little later.
 */
final class CrashProbe {
    private static final Duration EARLY = Duration.ofMillis(5);
    private static final Duration LATE = Duration.ofMillis(100);
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final EventLoop mEventLoop;
    private final NetAddress mAddress;
    private final CrashWatch mWatch;
    private final AtomicBoolean mRefused = new AtomicBoolean();

    CrashProbe(EventLoop eventLoop, NetAddress address, CrashWatch watch) {
        mEventLoop = eventLoop;
        mAddress = address;
        mWatch = watch;
    }

    /** Starts to probe; the watch is told the result. */
    void start(TimerService timers) {
        timers.after(EARLY, () -> probe(() -> {}));
        timers.after(LATE, () -> probe(() -> mWatch.judge(mRefused.get())));
    }

    private void probe(Runnable after) {
        ChannelFuture connecting =
                new Bootstrap()
                        .group(mEventLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .handler(new ChannelInboundHandlerAdapter())
                        .connect(mAddress.socketAddress());
        connecting.addListener(
                connected -> {
                    if (!connected.isSuccess()) {
                        mRefused.set(true);
                    }
                    connecting.channel().close();
                    after.run();
                });
    }
}
