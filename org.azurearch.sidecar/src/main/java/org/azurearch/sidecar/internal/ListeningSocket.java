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

/** A listening socket with the options that all servers of a node share. */
public final class ListeningSocket implements AutoCloseable {
    private final Channel mChannel;

    private ListeningSocket(Channel channel) {
        mChannel = channel;
    }

    /**
     * Opens a socket and listens on it.
     *
     * @param loop the event loop of the accepted connections
     * @param address the address to listen on; port 0 selects a free port
     * @param backlog the maximum number of connections waiting to be accepted
     * @param setup initialises each accepted connection
     * @throws AzurearchException if the socket cannot be bound to the address
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

    /** Returns the port that the socket listens on. */
    public int port() {
        return ((InetSocketAddress) mChannel.localAddress()).getPort();
    }

    @Override
    public void close() {
        mChannel.close();
    }
}
