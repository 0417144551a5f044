package org.azurearch.standin.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.util.ArrayDeque;
import java.util.Deque;
import org.azurearch.lib.NetAddress;
import org.azurearch.standin.backend.EchoAnswer;

/** Connection pool of one event loop for one address. Confined to that event loop. */
final class LoadPool {
    private static final int MAX_ANSWER_BYTES = 2 * EchoAnswer.MAX_BYTES;

    private final EventLoop mLoop;
    private final NetAddress mAddress;
    private final LoadPlan mPlan;
    private final int mMaxConnections;
    private final LoadGenerator mGenerator;
    private final Deque<LoadConnection> mIdle = new ArrayDeque<>();
    private final Deque<LoadRequest> mWaiting = new ArrayDeque<>();
    private int mOpen;

    LoadPool(
            EventLoop loop,
            NetAddress address,
            LoadPlan plan,
            int maxConnections,
            LoadGenerator generator) {
        mLoop = loop;
        mAddress = address;
        mPlan = plan;
        mMaxConnections = maxConnections;
        mGenerator = generator;
    }

    LoadPlan plan() {
        return mPlan;
    }

    void send(LoadRequest request) {
        LoadConnection idle = mIdle.pollLast();
        while (idle != null && !idle.idle()) {
            idle = mIdle.pollLast();
        }
        if (idle != null) {
            idle.send(idle.channel(), request);
        } else if (mOpen < mMaxConnections) {
            open(request);
        } else {
            mWaiting.addLast(request);
        }
    }

    void release(LoadConnection connection) {
        LoadRequest next = mWaiting.pollFirst();
        if (next == null) {
            mIdle.addLast(connection);
        } else {
            connection.send(connection.channel(), next);
        }
    }

    void connectionClosed(LoadConnection connection) {
        mIdle.remove(connection);
        replaceConnection();
    }

    /**
     * Opens a connection for the next waiting request after another one has closed or failed to
     * open.
     */
    private void replaceConnection() {
        mOpen--;
        LoadRequest next = mWaiting.pollFirst();
        if (next != null) {
            open(next);
        }
    }

    void attemptEnded(LoadRequest request, LoadOutcome outcome) {
        mGenerator.attemptEnded(request, outcome);
    }

    void countErrorCode(String code) {
        mGenerator.countErrorCode(code);
    }

    private void open(LoadRequest request) {
        mOpen++;
        LoadConnection connection = new LoadConnection(this);
        ChannelFuture connecting =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(new Initializer(connection))
                        .connect(mAddress.socketAddress());
        connecting.addListener(
                future -> {
                    if (future.isSuccess()) {
                        connection.send(connecting.channel(), request);
                    } else {
                        attemptEnded(request, LoadOutcome.NOT_CONNECTED);
                        replaceConnection();
                    }
                });
    }

    private static final class Initializer extends ChannelInitializer<Channel> {
        private final LoadConnection mConnection;

        Initializer(LoadConnection connection) {
            mConnection = connection;
        }

        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline().addLast(new HttpClientCodec());
            channel.pipeline().addLast(new HttpObjectAggregator(MAX_ANSWER_BYTES));
            channel.pipeline().addLast(mConnection);
        }
    }
}
