package org.azurearch.sidecar.internal.backend;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.Dialect;
import org.jspecify.annotations.Nullable;

/** Connections to the backend server. Confined to one event loop. */
final class BackendConnectionPool {
    /** The backend server is on the same VM; it accepts within milliseconds or not at all. */
    private static final int CONNECT_TIMEOUT_MILLIS = 900;

    /** The largest answer taken; answers are held whole so that a part never looks complete. */
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

    private static final int MAX_HEADER_BYTES = 64 * 1024;

    /** Part of the backend server's own idle limit up to which a connection is used again. */
    private static final double SERVER_IDLE_FRACTION = 0.6;

    /**
     * Some backend servers drop idle connections early and unannounced; what is sent next is lost.
     * A request that may run once only goes on a connection that was busy just before.
     */
    private static final long NON_IDEMPOTENT_MAX_IDLE_NANOS = 700_000_000L;

    /** For the others, the limit where the backend server names none. */
    private static final long MAX_IDLE_NANOS = 3_000_000_000L;

    private final EventLoop mLoop;
    private final Dialect mDialect;
    private final Deque<BackendConnection> mIdle = new ArrayDeque<>();
    private @Nullable NetAddress mAddress;

    BackendConnectionPool(EventLoop loop, Dialect dialect) {
        mLoop = loop;
        mDialect = dialect;
    }

    /** Goes over to another backend server; connections to the one before are not used again. */
    void retarget(NetAddress address) {
        mAddress = address;
        List.copyOf(mIdle).forEach(BackendConnection::close);
        mIdle.clear();
    }

    /**
     * Hands out a connection, now or once it is open.
     *
     * @param once whether the request may run only once
     * @param taker takes the connection, or null when none can be opened
     */
    void acquire(boolean once, long nowNanos, Consumer<@Nullable BackendConnection> taker) {
        for (BackendConnection idle = mIdle.pollFirst(); idle != null; idle = mIdle.pollFirst()) {
            long limit =
                    Math.min(
                            MAX_IDLE_NANOS, (long) (idle.serverIdleNanos() * SERVER_IDLE_FRACTION));
            long allowed = once ? Math.min(NON_IDEMPOTENT_MAX_IDLE_NANOS, limit) : limit;
            if (idle.active() && idle.idleNanos(nowNanos) < allowed) {
                taker.accept(idle);
                return;
            }
            idle.close();
        }
        open(taker);
    }

    void release(BackendConnection connection) {
        mIdle.addFirst(connection);
    }

    void remove(BackendConnection connection) {
        mIdle.remove(connection);
    }

    private void open(Consumer<@Nullable BackendConnection> taker) {
        NetAddress address = mAddress;
        if (address == null) {
            taker.accept(null);
            return;
        }
        BackendConnection[] opened = new BackendConnection[1];
        new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                opened[0] = install(channel);
                            }
                        })
                .connect(address.socketAddress())
                .addListener(
                        connected -> {
                            if (connected.isSuccess()) {
                                taker.accept(opened[0]);
                            } else {
                                taker.accept(null);
                            }
                        });
    }

    private BackendConnection install(Channel channel) {
        BackendConnection connection = new BackendConnection(channel, this, mDialect);
        HttpDecoderConfig config = new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES);
        channel.pipeline()
                .addLast(new HttpClientCodec(config, false, false))
                .addLast(new HttpObjectAggregator(MAX_ANSWER_BYTES))
                .addLast(connection);
        return connection;
    }
}
