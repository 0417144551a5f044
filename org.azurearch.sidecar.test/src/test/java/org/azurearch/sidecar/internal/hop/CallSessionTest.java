package org.azurearch.sidecar.internal.hop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.azurearch.internal.call.RequestMemory;
import org.azurearch.junit.Await;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.Verdict;
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
import org.azurearch.thrift.WireHopCancel;
import org.azurearch.thrift.WireHopSession;
import org.azurearch.thrift.WireHopSessionReply;
import org.azurearch.time.SystemTimeSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The calls of a peer whose connection is lost and made again. */
class CallSessionTest {
    private static final String SERVICE = "stock";
    private static final long SESSION = 7;
    private static final int SLOTS = 4;
    private static final long DEADLINE_NANOS = TimeUnit.MINUTES.toNanos(1);
    private static final long AFTER_RECONNECT_NANOS = TimeUnit.SECONDS.toNanos(1);
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
                    new RequestMemory(0, new SystemTimeSource(), (refused, held) -> {}),
                    new NoOtherFrames(),
                    new MetricRegistry());
    private RecordingServer mBackend;

    @BeforeEach
    void startBackend() throws Exception {
        mBackend = new RecordingServer();
        NetAddress address = new NetAddress("127.0.0.1", mBackend.port());
        Heartbeat heartbeat = new Heartbeat("i", 1, 1, SERVICE, address, SLOTS, false, 0);
        onLoop(() -> mDispatcher.updateBackend(heartbeat, BackendRecord.NO_LIMIT));
    }

    @AfterEach
    void stop() throws Exception {
        mBackend.close();
        mGroup.shutdownGracefully();
    }

    /** Guards against orders cut off in the middle, as a connection is reset. */
    @Test
    void nonIdempotentCallGoesOnThroughLossOfItsConnection() throws Exception {
        Peer first = new Peer(1, List.of());
        first.send(call(1, "order", false));
        Await.untilEquals(List.of("order"), mBackend::received);
        first.close();
        tickAfterReconnect();
        assertEquals(1, mDispatcher.running());
        assertEquals(List.of(), mBackend.cancelled());
        Peer second = new Peer(2, List.of(1L));
        assertEquals(List.of(1L), second.reply().getKnown());
    }

    @Test
    void outcomeThatWasSentOverLostConnectionIsSentAgain() throws Exception {
        mBackend.release();
        Peer first = new Peer(1, List.of());
        first.send(call(1, "order", false));
        Await.until("the answer is sent", () -> first.answers().equals(List.of(1L)));
        Peer second = new Peer(2, List.of(1L));
        assertEquals(List.of(1L), second.reply().getKnown());
        assertEquals(List.of(1L), second.answers());
        assertFalse(first.open());
        assertEquals(List.of("order"), mBackend.received());
    }

    @Test
    void acknowledgedOutcomeIsNotHeld() throws Exception {
        mBackend.release();
        Peer first = new Peer(1, List.of());
        first.send(call(1, "a", false));
        Await.until("the answer is sent", () -> first.answers().equals(List.of(1L)));
        HopFrame next = call(2, "b", false);
        next.getCall().setReceived(List.of(1L));
        first.send(next);
        Await.until("the answer is sent", () -> first.answers().equals(List.of(1L, 2L)));
        Peer second = new Peer(2, List.of(1L, 2L));
        assertEquals(List.of(2L), second.reply().getKnown());
        assertEquals(2L, second.reply().getLastCall());
    }

    /** Guards against a call that runs after its sender was told that it has not arrived. */
    @Test
    void callOverReplacedConnectionIsIgnored() throws Exception {
        Peer first = new Peer(1, List.of());
        Peer second = new Peer(2, List.of(1L));
        assertEquals(List.of(), second.reply().getKnown());
        assertTrue(second.reply().getLastCall() < 1);
        first.send(call(1, "late", false));
        second.send(call(2, "next", false));
        Await.untilEquals(List.of("next"), mBackend::received);
    }

    @Test
    void olderConnectionDoesNotReplaceNewerOne() throws Exception {
        Peer newer = new Peer(2, List.of());
        Peer older = new Peer(1, List.of());
        assertFalse(older.open());
        newer.send(call(1, "read", true));
        Await.untilEquals(List.of("read"), mBackend::received);
    }

    /** Guards against a run that is taken for none, as its session has been forgotten. */
    @Test
    void callsOfUnknownSessionMayHaveArrived() throws Exception {
        assertEquals(3, new Peer(5, List.of(1L, 3L)).reply().getLastCall());
        assertEquals(3, new Peer(6, List.of(4L)).reply().getLastCall());
    }

    /** Guards against an order that starts for a peer that has gone before its turn came. */
    @Test
    void waitingCallOfPeerThatDoesNotReturnIsReportedAsNotRun() throws Exception {
        Peer first = new Peer(1, List.of());
        for (long id = 1; id <= SLOTS + 1; id++) {
            first.send(call(id, "order" + id, false));
        }
        Await.until("all slots are taken", () -> mBackend.received().size() == SLOTS);
        first.close();
        tickAfterReconnect();
        Peer second = new Peer(2, List.of((long) SLOTS + 1));
        assertEquals(List.of(SLOTS + 1L), second.reply().getKnown());
        assertEquals(List.of(Verdict.NOT_RUN.ordinal()), second.verdicts());
    }

    /** Guards against waiting calls refused as their connection is reset. */
    @Test
    void waitingCallKeepsItsTurnWhileItsPeerReconnects() throws Exception {
        Peer first = new Peer(1, List.of());
        for (long id = 1; id <= SLOTS + 1; id++) {
            first.send(call(id, "order" + id, false));
        }
        Await.until("all slots are taken", () -> mBackend.received().size() == SLOTS);
        first.close();
        Peer second = new Peer(2, List.of(1L, SLOTS + 1L));
        assertEquals(Set.of(1L, SLOTS + 1L), Set.copyOf(second.reply().getKnown()));
        Await.until("it runs", () -> mBackend.received().contains("order" + (SLOTS + 1)));
    }

    /** Guards against work for callers that have left, whose cancellation was lost. */
    @Test
    void callThatThePeerNoLongerAwaitsIsCancelled() throws Exception {
        Peer first = new Peer(1, List.of());
        first.send(call(1, "order", false));
        first.send(call(2, "read", true));
        Await.until("both run", () -> mBackend.received().size() == 2);
        new Peer(2, List.of(2L));
        Await.untilEquals(List.of("order"), mBackend::cancelled);
    }

    @Test
    void cancellationOverNewConnectionReachesCallOfLostOne() throws Exception {
        Peer first = new Peer(1, List.of());
        first.send(call(1, "read", true));
        Await.untilEquals(List.of("read"), mBackend::received);
        Peer second = new Peer(2, List.of(1L));
        second.send(HopFrame.cancel(new WireHopCancel(1)));
        Await.untilEquals(List.of("read"), mBackend::cancelled);
    }

    /** Guards against work for the callers of a node that has ended. */
    @Test
    void idempotentCallOfPeerThatDoesNotReturnIsCancelled() throws Exception {
        Peer first = new Peer(1, List.of());
        first.send(call(1, "read", true));
        Await.untilEquals(List.of("read"), mBackend::received);
        first.close();
        tickAfterReconnect();
        Await.untilEquals(List.of("read"), mBackend::cancelled);
    }

    @Test
    void outcomesBeyondTheLimitDropTheOldest() {
        HeldOutcomes held = new HeldOutcomes(2_000);
        for (long id = 1; id <= 4; id++) {
            held.add(SESSION, id, HopFrame.cancel(new WireHopCancel(id)), DEADLINE_NANOS);
        }
        assertEquals(null, held.get(SESSION, 1));
        assertNotEquals(null, held.get(SESSION, 4));
        assertTrue(held.bytes() <= 2_000);
        held.expire(2 * DEADLINE_NANOS);
        assertEquals(0, held.bytes());
    }

    private void tickAfterReconnect() throws Exception {
        long now = System.nanoTime();
        for (long tick = 0; tick <= AFTER_RECONNECT_NANOS; tick += TICK_NANOS) {
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

    /** A connection of the peer, whose session it names first. */
    private final class Peer implements HopConnection.Listener {
        private final EmbeddedChannel mChannel = new EmbeddedChannel();
        private final List<HopFrame> mReceived = new ArrayList<>();
        private HopConnection mConnection;

        Peer(long connection, List<Long> pending) throws Exception {
            HopConnection.install(mChannel, new FrameCodec(), this);
            mChannel.pipeline().fireChannelActive();
            onLoop(() -> mServer.opened(mConnection));
            send(HopFrame.session(new WireHopSession(SESSION, connection, pending)));
        }

        void send(HopFrame frame) throws Exception {
            onLoop(() -> mServer.received(mConnection, frame));
        }

        boolean open() {
            return mChannel.isOpen();
        }

        void close() {
            mChannel.close();
        }

        WireHopSessionReply reply() throws Exception {
            return frames().get(0).getSessionReply();
        }

        /** Returns the ids of the calls whose answers have arrived. */
        List<Long> answers() {
            return frames().stream()
                    .filter(HopFrame::isSetAnswer)
                    .map(frame -> frame.getAnswer().getId())
                    .toList();
        }

        /** Returns the verdicts of the calls that have failed. */
        List<Integer> verdicts() {
            return frames().stream()
                    .filter(HopFrame::isSetFailure)
                    .map(frame -> frame.getFailure().getVerdict())
                    .toList();
        }

        private List<HopFrame> frames() {
            mChannel.runPendingTasks();
            for (ByteBuf bytes = mChannel.readOutbound();
                    bytes != null;
                    bytes = mChannel.readOutbound()) {
                if (bytes.readableBytes() > Integer.BYTES) {
                    mReceived.add(new FrameCodec().decode(bytes));
                }
            }
            return mReceived;
        }

        @Override
        public void opened(HopConnection connection) {
            mConnection = connection;
        }

        @Override
        public void received(HopConnection connection, HopFrame frame) {}

        @Override
        public void closed(HopConnection connection) {
            mLoop.execute(() -> mServer.closed(connection));
        }
    }

    private static final class NoOtherFrames implements NodeDirectory.Listener {
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
