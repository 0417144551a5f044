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
 * Determines whether a backend server has crashed after a connection to it was lost, by connecting
 * to it twice: within a few milliseconds, before a supervisor can have restarted it, and once more
 * later. It counts as crashed if either connection fails.
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

    /** Starts probing; the result is reported to the {@link CrashMonitor}. */
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
