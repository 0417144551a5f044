package org.azurearch.sidecar.internal.hop;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import org.azurearch.lib.NetAddress;
import org.jspecify.annotations.Nullable;

/** Opens connections to other nodes and takes theirs. Confined to one event loop. */
public final class HopNetwork implements AutoCloseable {
    /** Data centres are milliseconds apart; a VM that is gone never answers. */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private static final int BACKLOG = 256;

    private final EventLoop mLoop;
    private final FrameCodec mCodec = new FrameCodec();
    private @Nullable Channel mServer;

    /**
     * Creates the network.
     *
     * @param loop the event loop of the node
     */
    public HopNetwork(EventLoop loop) {
        mLoop = loop;
    }

    /**
     * Takes connections from other nodes.
     *
     * @param address the address to listen on; port 0 asks for a free one
     * @param listener takes what happens on them
     * @return the port
     */
    public int listen(NetAddress address, HopConnection.Listener listener) {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mLoop, mLoop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(initializer(listener));
        Channel server = bootstrap.bind(address.socketAddress()).syncUninterruptibly().channel();
        mServer = server;
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** Opens a connection; the future fails when that takes too long. */
    ChannelFuture connect(NetAddress address, HopConnection.Listener listener) {
        return new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(initializer(listener))
                .connect(address.socketAddress());
    }

    @Override
    public void close() {
        if (mServer != null) {
            mServer.close();
        }
    }

    private ChannelInitializer<SocketChannel> initializer(HopConnection.Listener listener) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                HopConnection.install(channel, mCodec, listener);
            }
        };
    }
}
