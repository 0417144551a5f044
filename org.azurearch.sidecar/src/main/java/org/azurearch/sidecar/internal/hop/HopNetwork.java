package org.azurearch.sidecar.internal.hop;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.internal.ListeningSocket;
import org.jspecify.annotations.Nullable;

/** Opens connections to peers and accepts theirs. Confined to one event loop. */
public final class HopNetwork implements AutoCloseable {
    /** Round trips between data centres take milliseconds; a VM that is down never answers. */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private static final int BACKLOG = 256;

    private final EventLoop mLoop;
    private final FrameCodec mCodec = new FrameCodec();
    private @Nullable ListeningSocket mSocket;

    /**
     * Creates the network.
     *
     * @param loop the event loop of the node
     */
    public HopNetwork(EventLoop loop) {
        mLoop = loop;
    }

    /** Returns the counters of the frames that are sent to all peers. */
    public SentFrames sentFrames() {
        return mCodec.sent();
    }

    /**
     * Starts accepting connections from peers.
     *
     * @param address the address to listen on; port 0 selects a free port
     * @param listener receives the events of the connections
     * @return the port that the socket listens on
     */
    public int listen(NetAddress address, HopConnection.Listener listener) {
        ListeningSocket socket =
                ListeningSocket.open(
                        mLoop,
                        address,
                        BACKLOG,
                        channel -> HopConnection.install(channel, mCodec, listener));
        mSocket = socket;
        return socket.port();
    }

    /** Opens a connection; the future fails if connecting takes too long. */
    ChannelFuture connect(NetAddress address, HopConnection.Listener listener) {
        return new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                HopConnection.install(channel, mCodec, listener);
                            }
                        })
                .connect(address.socketAddress());
    }

    @Override
    public void close() {
        if (mSocket != null) {
            mSocket.close();
        }
    }
}
