package org.azurearch.sidecar.internal;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.NetAddress;

/** A socket that takes connections, set up in the same way for all that a node serves. */
public final class ListeningSocket implements AutoCloseable {
    private final Channel mServer;

    private ListeningSocket(Channel server) {
        mServer = server;
    }

    /**
     * Listens.
     *
     * @param loop the event loop that serves the connections
     * @param address where to listen; port 0 asks for a free one
     * @param backlog connections that may wait to be taken
     * @param setup sets up each connection
     * @throws AzurearchException when the address cannot be listened on
     */
    public static ListeningSocket open(
            EventLoop loop, NetAddress address, int backlog, Consumer<SocketChannel> setup) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, backlog)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        setup.accept(channel);
                                    }
                                })
                        .bind(address.socketAddress())
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new AzurearchException(
                    ErrorCode.INTERNAL, "cannot listen on " + address, bound.cause());
        }
        return new ListeningSocket(bound.channel());
    }

    /** Returns the port. */
    public int port() {
        return ((InetSocketAddress) mServer.localAddress()).getPort();
    }

    @Override
    public void close() {
        mServer.close();
    }
}
