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

/**
 * Determines whether a backend server has crashed after a connection to it was lost, by connecting
 * to it twice: within a few milliseconds, before a supervisor can have restarted it, and once more
 * later. It counts as crashed if either connection fails.
 */
public final class CrashProbe {
    /** Receives the result; called on the event loop. */
    public interface Listener {
        /** Called as soon as a connection fails, at most once. */
        void crashed();

        /** Called if the first connection succeeds. */
        default void responsive() {}

        /** Called after the second probe. */
        void probed(boolean crashed);
    }

    /** Runs a task after a delay. */
    public interface Scheduler {
        /** Schedules a task. */
        void after(Duration delay, Runnable task);
    }

    private static final Duration FIRST_PROBE_DELAY = Duration.ofMillis(5);
    private static final Duration SECOND_PROBE_DELAY = Duration.ofMillis(100);
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final EventLoop mEventLoop;
    private final NetAddress mAddress;
    private final Listener mListener;
    private final AtomicBoolean mConnectFailed = new AtomicBoolean();

    /**
     * Creates a probe.
     *
     * @param eventLoop the event loop of the connections
     * @param address the address of the backend server
     * @param listener receives the result
     */
    public CrashProbe(EventLoop eventLoop, NetAddress address, Listener listener) {
        mEventLoop = eventLoop;
        mAddress = address;
        mListener = listener;
    }

    /** Starts probing; the result is reported to the listener. */
    public void start(Scheduler scheduler) {
        scheduler.after(FIRST_PROBE_DELAY, () -> probe(this::reportFirst));
        scheduler.after(
                SECOND_PROBE_DELAY, () -> probe(() -> mListener.probed(mConnectFailed.get())));
    }

    private void reportFirst() {
        if (!mConnectFailed.get()) {
            mListener.responsive();
        }
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
                    if (!connected.isSuccess() && mConnectFailed.compareAndSet(false, true)) {
                        mListener.crashed();
                    }
                    connecting.channel().close();
                    after.run();
                });
    }
}
