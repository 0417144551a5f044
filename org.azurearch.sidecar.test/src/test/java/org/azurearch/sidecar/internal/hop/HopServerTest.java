package org.azurearch.sidecar.internal.hop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
import java.util.concurrent.TimeUnit;
import org.azurearch.internal.call.RequestMemory;
import org.azurearch.junit.Await;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.internal.PauseDetector;
import org.azurearch.sidecar.internal.backend.BackendDispatcher;
import org.azurearch.sidecar.internal.backend.RecordingServer;
import org.azurearch.sidecar.internal.backend.TestDispatchers;
import org.azurearch.sidecar.internal.mesh.NodeDirectory;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.Heartbeat;
import org.azurearch.sidecar.member.NodeRecord;
import org.azurearch.thrift.HopFrame;
import org.azurearch.time.SystemTimeSource;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Connections that peers opened. */
class HopServerTest {
    private static final String SERVICE = "stock";
    private static final long DEADLINE_NANOS = TimeUnit.MINUTES.toNanos(1);
    private static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = mGroup.next();
    private final BackendDispatcher mDispatcher = TestDispatchers.create(mLoop);
    private final HopServer mServer =
            new HopServer(
                    mLoop,
                    mDispatcher,
                    new PauseDetector(System.nanoTime(), System.currentTimeMillis()),
                    memory(),
                    new UnexpectedFrames(),
                    new MetricRegistry());
    private @Nullable HopConnection mConnection;

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully();
    }

    private static RequestMemory memory() {
        return new RequestMemory(0, new SystemTimeSource(), (refused, held) -> {});
    }

    /** Guards against a stop that waits for the connection of a peer that has left. */
    @Test
    void connectionThatClosedBeforeTheOutcomeOfItsCallIsForgotten() throws Exception {
        EmbeddedChannel channel = new EmbeddedChannel();
        HopConnection connection = open(channel);
        onLoop(
                () -> {
                    // refused in a later task of the loop, as there is no backend server
                    mServer.received(connection, call(1, "read", true));
                    mServer.closed(connection);
                });
        onLoop(() -> assertTrue(mServer.closed()));
        channel.close();
    }

    @Test
    void connectionOfSilentPeerIsClosedAndItsCallsAreCancelled() throws Exception {
        try (RecordingServer backend = startBackend()) {
            EmbeddedChannel channel = new EmbeddedChannel();
            HopConnection connection = open(channel);
            onLoop(() -> mServer.received(connection, call(1, "read", true)));
            Await.untilEquals(List.of("read"), backend::received);
            passSilence();
            assertFalse(channel.isOpen());
            Await.untilEquals(List.of("read"), backend::cancelled);
        }
    }

    /** Guards against orders cut off in the middle, as the node of their caller is suspended. */
    @Test
    void nonIdempotentCallOfSilentPeerGoesOn() throws Exception {
        try (RecordingServer backend = startBackend()) {
            EmbeddedChannel channel = new EmbeddedChannel();
            HopConnection connection = open(channel);
            onLoop(() -> mServer.received(connection, call(1, "order", false)));
            onLoop(() -> mServer.received(connection, call(2, "read", true)));
            Await.until("both run", () -> backend.received().size() == 2);
            passSilence();
            Await.untilEquals(List.of("read"), backend::cancelled);
            assertTrue(channel.isOpen());
            assertEquals(1, mDispatcher.running());
            channel.close();
        }
    }

    /** Guards against calls refused after a pause of their node, as the pause is counted twice. */
    @Test
    void pauseOfThisNodeCountsOnceTowardsTheDeadlineOfItsCalls() throws Exception {
        long pausedMillis = 1_000;
        long now = System.nanoTime();
        long wallMillis = System.currentTimeMillis();
        PauseDetector pauses =
                new PauseDetector(
                        now - TimeUnit.MILLISECONDS.toNanos(pausedMillis),
                        wallMillis - pausedMillis);
        HopServer paused =
                new HopServer(
                        mLoop,
                        mDispatcher,
                        pauses,
                        memory(),
                        new UnexpectedFrames(),
                        new MetricRegistry());
        try (RecordingServer backend = startBackend()) {
            HopConnection connection = open(new EmbeddedChannel());
            onLoop(() -> paused.opened(connection));
            HopFrame first = call(1, "first", true);
            sentAt(first, now, wallMillis, 0);
            HopFrame second = call(2, "second", true);
            second.getCall().setTargetLeftMillis(1_500).setLeftMillis(1_900);
            sentAt(second, now, wallMillis, pausedMillis);
            onLoop(() -> paused.received(connection, first));
            onLoop(() -> paused.received(connection, second));
            Await.until("both are sent", () -> backend.received().size() == 2);
        }
    }

    private static void sentAt(HopFrame frame, long nowNanos, long wallMillis, long agoMillis) {
        frame.getCall()
                .setSentMillis(TimeUnit.NANOSECONDS.toMillis(nowNanos) - agoMillis)
                .setSentAtMillis(wallMillis - agoMillis);
    }

    private RecordingServer startBackend() throws Exception {
        RecordingServer backend = new RecordingServer();
        NetAddress address = new NetAddress("127.0.0.1", backend.port());
        Heartbeat heartbeat = new Heartbeat("i", 1, 1, SERVICE, address, 4, false, 0);
        onLoop(() -> mDispatcher.updateBackend(heartbeat, BackendRecord.NO_LIMIT));
        return backend;
    }

    private HopConnection open(EmbeddedChannel channel) throws Exception {
        HopConnection.install(channel, new FrameCodec(), new CapturingListener());
        channel.pipeline().fireChannelActive();
        HopConnection connection = Objects.requireNonNull(mConnection);
        onLoop(() -> mServer.opened(connection));
        return connection;
    }

    /** Ticks the server through a time in which nothing arrives and a ping is not replied to. */
    private void passSilence() throws Exception {
        long now = System.nanoTime();
        for (long tick = 0; tick <= SILENCE_NANOS; tick += TICK_NANOS) {
            long at = now + tick;
            onLoop(() -> mServer.tick(at));
        }
    }

    private static HopFrame call(long id, String requestId, boolean idempotent) {
        HopCall call =
                new HopCall(
                        id,
                        "GET",
                        "/",
                        List.of("id", requestId),
                        new byte[0],
                        DEADLINE_NANOS,
                        DEADLINE_NANOS,
                        1,
                        SERVICE,
                        "route",
                        idempotent);
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
        public void closed(HopConnection connection) {
            mServer.closed(connection);
        }
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
