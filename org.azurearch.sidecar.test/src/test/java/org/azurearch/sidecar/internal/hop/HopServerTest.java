package org.azurearch.sidecar.internal.hop;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.internal.PauseDetector;
import org.azurearch.sidecar.internal.backend.TestDispatchers;
import org.azurearch.sidecar.internal.mesh.NodeDirectory;
import org.azurearch.sidecar.member.NodeRecord;
import org.azurearch.thrift.HopFrame;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Connections that peers opened. */
class HopServerTest {
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = mGroup.next();
    private final HopServer mServer =
            new HopServer(
                    mLoop,
                    TestDispatchers.create(mLoop),
                    new PauseDetector(System.nanoTime(), System.currentTimeMillis()),
                    new UnexpectedFrames(),
                    new MetricRegistry());
    private @Nullable HopConnection mConnection;

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully();
    }

    /** Guards against a stop that waits for the connection of a peer that has left. */
    @Test
    void connectionThatClosedBeforeTheOutcomeOfItsCallIsForgotten() throws Exception {
        EmbeddedChannel channel = new EmbeddedChannel();
        HopConnection.install(channel, new FrameCodec(), new CapturingListener());
        channel.pipeline().fireChannelActive();
        HopConnection connection = Objects.requireNonNull(mConnection);
        onLoop(
                () -> {
                    mServer.opened(connection);
                    mServer.received(connection, call()); // refused in a later task of the loop
                    mServer.closed(connection);
                });
        onLoop(() -> assertTrue(mServer.closed()));
        channel.close();
    }

    private static HopFrame call() {
        HopCall call = new HopCall(1, "GET", "/", List.of(), new byte[0], 0, 0, 1, "s", "r", true);
        return HopFrame.call(HopWire.toWire(call, 0));
    }

    private void onLoop(Runnable task) throws Exception {
        CompletableFuture.runAsync(task, mLoop).get();
    }

    private final class CapturingListener implements HopConnection.Listener {
        @Override
        public void opened(HopConnection connection) {
            mConnection = connection;
        }

        @Override
        public void received(HopConnection connection, HopFrame frame) {}

        @Override
        public void closed(HopConnection connection) {}
    }

    private static final class UnexpectedFrames implements NodeDirectory.Listener {
        @Override
        public void received(HopConnection connection, HopFrame frame) {
            throw new IllegalStateException("unexpected frame " + frame.getSetField());
        }

        @Override
        public void linkUp(HopLink link) {}

        @Override
        public void earlierRecordFound(NodeRecord earlier) {}
    }
}
