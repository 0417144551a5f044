package org.azurearch.internal.transport;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslContext;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.NetAddress;
import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.PeerRequest;
import org.azurearch.time.TimerService;
import org.azurearch.transport.PeerClient;
import org.jspecify.annotations.Nullable;

/** Sends sealed Thrift requests over one connection to each peer, opened on demand. */
final class NettyPeerClient implements PeerClient {
    /** A connection that is established or being established. */
    private record Link(PeerConnection connection, ChannelFuture connectFuture) {}

    private final PeerSettings.Limits mLimits;
    private final ThriftCodec mCodec;
    private final Sealer mSealer;
    private final @Nullable SslContext mTls;
    private final EventLoopGroup mGroup;
    private final TimerService mTimers;
    private final ControlByteCounters mByteCounters;
    private final Map<NetAddress, Link> mLinks = new ConcurrentHashMap<>();
    private volatile boolean mClosed;

    /**
     * Creates a client without connections.
     *
     * @param limits the limits of connections and messages
     * @param sealer seals requests and opens replies
     * @param tls the TLS context, or null for connections without TLS
     * @param group the event loops
     * @param timers the timer service for the timeouts of requests
     * @param metrics the registry that the metrics are added to
     */
    NettyPeerClient(
            PeerSettings.Limits limits,
            Sealer sealer,
            @Nullable SslContext tls,
            EventLoopGroup group,
            TimerService timers,
            MetricRegistry metrics) {
        mLimits = limits;
        mCodec = new ThriftCodec(limits.maxMessageBytes());
        mSealer = sealer;
        mTls = tls;
        mGroup = group;
        mTimers = timers;
        mByteCounters = new ControlByteCounters(metrics);
        metrics.gauge("peer.connections.out", () -> (Gauge<Integer>) mLinks::size);
    }

    @Override
    public CompletableFuture<PeerReply> send(NetAddress to, PeerRequest request, Duration timeout) {
        if (mClosed) {
            return failed(ErrorCode.PEER_UNAVAILABLE, "the client is closed");
        }
        Link link = linkTo(to);
        PeerConnection connection = link.connection();
        if (!connection.tryReserve(mLimits.maxInFlightPerPeer())) {
            return failed(ErrorCode.BUSY, "too many requests in flight to " + to);
        }
        CompletableFuture<PeerReply> reply = new CompletableFuture<>();
        Channel channel = link.connectFuture().channel();
        TimerService.ScheduledTask timer =
                mTimers.after(timeout, () -> connection.expire(channel, reply));
        connection.send(link.connectFuture(), request, reply);
        return reply.whenComplete(
                (answer, failure) -> {
                    timer.cancel();
                    connection.release();
                });
    }

    @Override
    public void close() {
        mClosed = true;
        mLinks.values().forEach(link -> link.connectFuture().channel().close());
    }

    /** Returns the link to an address, opening a new one if there is none or it has closed. */
    private synchronized Link linkTo(NetAddress to) {
        Link link = mLinks.get(to);
        if (link == null || isClosed(link)) {
            link = connect(to);
            mLinks.put(to, link);
        }
        return link;
    }

    private static boolean isClosed(Link link) {
        return link.connectFuture().isDone() && !link.connectFuture().channel().isActive();
    }

    private Link connect(NetAddress to) {
        PeerConnection connection =
                new PeerConnection(to, mCodec, mSealer, mByteCounters, this::removeLink);
        ChannelFuture connectFuture =
                new Bootstrap()
                        .group(mGroup)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                Math.toIntExact(mLimits.connectTimeout().toMillis()))
                        .handler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        FramePipeline.addTo(
                                                channel.pipeline(),
                                                mLimits.maxMessageBytes(),
                                                mLimits.idleTimeout(),
                                                mTls);
                                        channel.pipeline().addLast(connection);
                                    }
                                })
                        .connect(to.socketAddress());
        return new Link(connection, connectFuture);
    }

    private void removeLink(PeerConnection connection) {
        mLinks.computeIfPresent(
                connection.address(), (to, link) -> link.connection() == connection ? null : link);
    }

    private static CompletableFuture<PeerReply> failed(ErrorCode code, String message) {
        return CompletableFuture.failedFuture(new AzurearchException(code, message));
    }
}
