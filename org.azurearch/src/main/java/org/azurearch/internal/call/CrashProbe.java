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
    private static final Duration FIRST_PROBE_DELAY = Duration.ofMillis(5);
    private static final Duration SECOND_PROBE_DELAY = Duration.ofMillis(100);
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final EventLoop mEventLoop;
    private final NetAddress mAddress;
    private final CrashMonitor mMonitor;
    private final AtomicBoolean mConnectFailed = new AtomicBoolean();

    CrashProbe(EventLoop eventLoop, NetAddress address, CrashMonitor monitor) {
        mEventLoop = eventLoop;
        mAddress = address;
        mMonitor = monitor;
    }

    /** Starts to probe; the watch is told the result. */
    void start(TimerService timers) {
        timers.after(FIRST_PROBE_DELAY, () -> probe(() -> {}));
        timers.after(
                SECOND_PROBE_DELAY, () -> probe(() -> mMonitor.onProbed(mConnectFailed.get())));
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
                        mConnectFailed.set(true);
                    }
                    connecting.channel().close();
                    after.run();
                });
    }
}
