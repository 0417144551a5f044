package org.azurearch.internal.transport;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.azurearch.events.EventLog;
import org.azurearch.lib.NetAddress;
import org.azurearch.thrift.PeerRequest;
import org.azurearch.transport.AsyncPeerHandler;
import org.azurearch.transport.PeerHandler;
import org.azurearch.transport.PeerServer;
import org.jspecify.annotations.Nullable;

/** Serves sealed Thrift requests on a Netty listener. */
final class NettyPeerServer implements PeerServer {
    private static final int BACKLOG = 512;

    private final ChannelGroup mChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final PeerRequestQueues mQueues;
    private final PeerDispatcher mDispatcher;
    private final Channel mListener;

    /**
     * Binds the listener.
     *
     * @param settings the settings
     * @param sealer opens requests and seals replies
     * @param tls the TLS context, or null for connections without TLS
     * @param group the event loops
     * @param metrics the registry that the metrics are added to
     */
    NettyPeerServer(
            PeerSettings settings,
            Sealer sealer,
            @Nullable SslContext tls,
            EventLoopGroup group,
            MetricRegistry metrics) {
        PeerSettings.Limits limits = settings.limits();
        mQueues = new PeerRequestQueues(limits.ringCapacity(), metrics);
        mDispatcher = new PeerDispatcher(mQueues);
        ConnectionLimiter connectionLimiter =
                new ConnectionLimiter(limits.maxConnections(), limits.maxConnectionsPerAddress());
        metrics.gauge("peer.connections.in", () -> (Gauge<Integer>) connectionLimiter::total);
        PeerServerContext context =
                new PeerServerContext(
                        limits,
                        new ThriftCodec(limits.maxMessageBytes()),
                        sealer,
                        mDispatcher,
                        new ControlByteCounters(metrics),
                        connectionLimiter,
                        metrics.counter("peer.unauthenticated"));
        mListener = bind(settings.listen(), context, tls, group);
        EventLog.log(TransportEvent.PEER_LISTENING, address());
    }

    @Override
    public void registerHandler(PeerRequest._Fields kind, PeerHandler handler) {
        registerAsyncHandler(
                kind, request -> CompletableFuture.completedFuture(handler.handle(request)));
    }

    @Override
    public void registerAsyncHandler(PeerRequest._Fields kind, AsyncPeerHandler handler) {
        mDispatcher.register(kind, handler);
    }

    @Override
    public NetAddress address() {
        InetSocketAddress bound = (InetSocketAddress) mListener.localAddress();
        return new NetAddress(bound.getAddress().getHostAddress(), bound.getPort());
    }

    @Override
    public void close() {
        mListener.close().syncUninterruptibly();
        mChannels.close().awaitUninterruptibly();
        mQueues.close();
    }

    private Channel bind(
            NetAddress listen,
            PeerServerContext context,
            @Nullable SslContext tls,
            EventLoopGroup group) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                mChannels.add(channel);
                                FramePipeline.addTo(
                                        channel.pipeline(),
                                        context.limits().maxMessageBytes(),
                                        context.limits().serverIdleTimeout(),
                                        tls);
                                channel.pipeline().addLast(new PeerConnectionHandler(context));
                            }
                        })
                .bind(listen.socketAddress())
                .syncUninterruptibly()
                .channel();
    }
}
