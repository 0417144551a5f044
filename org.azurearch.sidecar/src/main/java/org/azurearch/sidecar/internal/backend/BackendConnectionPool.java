package org.azurearch.sidecar.internal.backend;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.azurearch.internal.call.AnswerDecoder;
import org.azurearch.internal.call.HttpLimits;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.Dialect;
import org.azurearch.sidecar.admit.AnswerBudget;
import org.jspecify.annotations.Nullable;

/** Pool of connections to one run of the backend server. Confined to one event loop. */
final class BackendConnectionPool {
    /** The backend server runs on the same VM and accepts within milliseconds or not at all. */
    private static final int CONNECT_TIMEOUT_MILLIS = 900;

    /** Largest accepted answer; aggregated so that a truncated one never looks complete. */
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

    private static final int MAX_HEADER_BYTES = 64 * 1024;

    /**
     * Fraction of the backend server's announced idle timeout within which to reuse a connection.
     */
    private static final double SERVER_IDLE_FRACTION = 0.6;

    /**
     * Some backend servers drop idle connections early without notice, and the next request is
     * lost. A non-idempotent request therefore reuses only a connection that was busy recently.
     */
    private static final long NON_IDEMPOTENT_MAX_IDLE_NANOS = 700_000_000L;

    /** Idle limit for idempotent requests, unless the server announces a shorter timeout. */
    private static final long MAX_IDLE_NANOS = 3_000_000_000L;

    /**
     * Reads of a connection in one iteration of the event loop, which other connections wait for. A
     * read holds up to 2,700 chunks of one byte.
     */
    private static final int MAX_READS_PER_TURN = 2;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2_048;
    private static final int MAX_READ_BYTES = 16 * 1024;

    private final EventLoop mLoop;
    private final Dialect mDialect;
    private final AnswerBudget mBudget;
    private final Deque<BackendConnection> mIdle = new ArrayDeque<>();
    private final NetAddress mAddress;
    private boolean mClosed;

    /**
     * Creates an empty pool.
     *
     * @param loop the event loop of the connections
     * @param dialect the header names
     * @param address the address of the backend server
     * @param budget limits the bytes of incomplete answers
     */
    BackendConnectionPool(
            EventLoop loop, Dialect dialect, NetAddress address, AnswerBudget budget) {
        mLoop = loop;
        mDialect = dialect;
        mAddress = address;
        mBudget = budget;
    }

    /** Returns the address of the backend server. */
    NetAddress address() {
        return mAddress;
    }

    /** Closes the idle connections. */
    void closeIdle() {
        List.copyOf(mIdle).forEach(BackendConnection::close);
        mIdle.clear();
    }

    /** Closes the idle connections now and those in use after use; no more are opened. */
    void close() {
        mClosed = true;
        closeIdle();
    }

    /**
     * Passes an idle connection to the callback immediately, or a new one when it is open.
     *
     * @param usable whether an idle connection may be used
     * @param nonIdempotent whether the request must not run twice
     * @param nowNanos the current time
     * @param callback receives the connection, or null if none can be opened
     */
    void acquire(
            Predicate<BackendConnection> usable,
            boolean nonIdempotent,
            long nowNanos,
            Consumer<@Nullable BackendConnection> callback) {
        BackendConnection idle = takeIdle(usable, nonIdempotent, nowNanos);
        if (idle == null) {
            open(callback);
        } else {
            callback.accept(idle);
        }
    }

    private @Nullable BackendConnection takeIdle(
            Predicate<BackendConnection> usable, boolean nonIdempotent, long nowNanos) {
        for (Iterator<BackendConnection> all = mIdle.iterator(); all.hasNext(); ) {
            BackendConnection idle = all.next();
            if (!idle.active() || idle.idleNanos(nowNanos) >= maxIdleNanos(idle, nonIdempotent)) {
                all.remove();
                idle.close();
            } else if (usable.test(idle)) {
                all.remove();
                return idle;
            }
        }
        return null;
    }

    private static long maxIdleNanos(BackendConnection idle, boolean nonIdempotent) {
        long limit =
                Math.min(MAX_IDLE_NANOS, (long) (idle.serverIdleNanos() * SERVER_IDLE_FRACTION));
        return nonIdempotent ? Math.min(NON_IDEMPOTENT_MAX_IDLE_NANOS, limit) : limit;
    }

    void release(BackendConnection connection) {
        if (mClosed) {
            connection.close();
        } else {
            mIdle.addFirst(connection);
        }
    }

    void remove(BackendConnection connection) {
        mIdle.remove(connection);
    }

    private void open(Consumer<@Nullable BackendConnection> callback) {
        if (mClosed) {
            callback.accept(null);
            return;
        }
        BackendConnection[] opened = new BackendConnection[1];
        new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(
                                        MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(MAX_READS_PER_TURN))
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                opened[0] = install(channel);
                            }
                        })
                .connect(mAddress.socketAddress())
                .addListener(
                        connected -> {
                            if (connected.isSuccess()) {
                                callback.accept(opened[0]);
                            } else {
                                callback.accept(null);
                            }
                        });
    }

    BackendConnection install(Channel channel) {
        HttpDecoderConfig config = HttpLimits.answerConfig().setMaxHeaderSize(MAX_HEADER_BYTES);
        AnswerDecoder decoder = new AnswerDecoder(config);
        AnswerReader reader = new AnswerReader(channel, mBudget);
        BackendConnection connection =
                new BackendConnection(channel, this, mDialect, decoder, reader);
        channel.pipeline()
                .addLast(reader)
                .addLast(decoder)
                .addLast(new HttpRequestEncoder())
                .addLast(new BodyBlocks())
                .addLast(new HttpObjectAggregator(MAX_ANSWER_BYTES))
                .addLast(connection);
        return connection;
    }
}
