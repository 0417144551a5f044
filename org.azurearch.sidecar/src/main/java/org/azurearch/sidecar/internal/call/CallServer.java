package org.azurearch.sidecar.internal.call;

import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.TimeUnit;
import org.azurearch.internal.call.RequestMemory;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.config.RequestLimits;
import org.azurearch.sidecar.config.RoutingConfig;
import org.azurearch.sidecar.internal.ListeningSocket;
import org.azurearch.sidecar.internal.OpenConnections;
import org.jspecify.annotations.Nullable;

/** Accepts the connections of callers on this VM. Confined to one event loop. */
public final class CallServer implements AutoCloseable {
    /** Interval at which idle connections are closed. */
    private static final long SWEEP_MILLIS = 1_000;

    /** Age up to which a measurement of the answers that were not read is used. */
    private static final long HELD_BYTES_LIFETIME_NANOS = 10_000_000L;

    private static final int BACKLOG = 1_024;

    private final EventLoop mLoop;
    private final CallRouter mRouter;
    private final RequestMemory mMemory;
    private final OpenConnections<CallerConnection> mConnections;
    private @Nullable ListeningSocket mSocket;
    private boolean mDraining;
    private long mHeldBytes;
    private long mHeldMeasuredNanos = System.nanoTime();

    /**
     * Creates a server that does not listen yet.
     *
     * @param loop the event loop of the node
     * @param router shared by all calls
     * @param memory bounds the memory of requests
     */
    public CallServer(EventLoop loop, CallRouter router, RequestMemory memory) {
        mLoop = loop;
        mRouter = router;
        mMemory = memory;
        mConnections = new OpenConnections<>(router.callerLimits().maxConnections(), router.log());
        router.answers().measureHeld(this::heldBytes);
    }

    /**
     * Starts accepting connections.
     *
     * @param address the address to listen on; port 0 selects a free port
     * @return the port that the server listens on
     */
    public int listen(NetAddress address) {
        ListeningSocket socket = ListeningSocket.open(mLoop, address, BACKLOG, this::install);
        mSocket = socket;
        mLoop.schedule(this::sweep, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        return socket.port();
    }

    /** Closes each connection that gets a request once all that were read are answered. */
    public void drain() {
        mDraining = true;
        mRouter.stopHedging();
        mConnections.all().forEach(CallerConnection::drain);
    }

    /** Refuses the calls that no backend server has been sent, also those that peers hold. */
    public void withdraw() {
        mConnections.all().forEach(CallerConnection::withdraw);
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        if (mSocket != null) {
            mSocket.close();
        }
        mConnections.all().forEach(connection -> connection.close("stop"));
    }

    /** Returns whether a caller is still reading its last answer. */
    public boolean closingAny() {
        return mConnections.all().stream().anyMatch(CallerConnection::closing);
    }

    /** Returns the bytes of answers that were given to connections and not sent yet. */
    public long unsentBytes() {
        return mConnections.all().stream().mapToLong(CallerConnection::unwrittenBytes).sum();
    }

    void opened(CallerConnection connection) {
        mConnections.opened(connection);
        if (mDraining) {
            connection.drain();
        }
    }

    void closed(CallerConnection connection) {
        mConnections.closed(connection);
    }

    /** Returns the bytes of answers that callers have not read or whose turn has not come. */
    private long heldBytes() {
        long bytes = 0;
        for (CallerConnection connection : mConnections.all()) {
            bytes += connection.heldBytes();
        }
        return bytes;
    }

    /** Returns whether answers that were not read take all the memory that there is for them. */
    boolean answersFull() {
        long now = System.nanoTime();
        if (now - mHeldMeasuredNanos > HELD_BYTES_LIFETIME_NANOS) {
            mHeldMeasuredNanos = now;
            mHeldBytes = heldBytes();
        }
        return mHeldBytes > mRouter.callerLimits().maxAnswerBytes();
    }

    private void install(SocketChannel channel) {
        new CallerConnection(mRouter, this, channel, mMemory).install();
    }

    private void sweep() {
        RoutingConfig config = mRouter.config();
        RequestLimits limits = config == null ? RequestLimits.DEFAULT : config.limits();
        long allowed = TimeUnit.MILLISECONDS.toNanos(limits.idleTimeoutMillis());
        long headSweeps = limits.headerTimeoutMillis() / SWEEP_MILLIS + 1;
        long now = System.nanoTime();
        for (CallerConnection connection : mConnections.all()) {
            boolean unused =
                    connection.idle()
                            && !connection.closing()
                            && connection.idleNanos(now) > allowed;
            connection.resume();
            if (connection.headOverdue(headSweeps)) {
                connection.close("head incomplete");
            } else if (connection.stalledNanos(now) > allowed) {
                connection.close("answers unread");
            } else if (unused && connection.heldBytes() == 0) {
                connection.close("idle");
            }
        }
        mLoop.schedule(this::sweep, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }
}
