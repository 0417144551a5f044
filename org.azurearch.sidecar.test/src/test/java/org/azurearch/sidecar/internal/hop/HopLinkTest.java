package org.azurearch.sidecar.internal.hop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataOutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.azurearch.errors.ErrorCode;
import org.azurearch.junit.Await;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.Verdict;
import org.azurearch.sidecar.call.Attempt;
import org.azurearch.sidecar.call.AttemptFailure;
import org.azurearch.sidecar.call.BackendAnswer;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.member.NodeRecord;
import org.azurearch.sidecar.route.EndpointLoad;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WireHopAnswer;
import org.azurearch.thrift.WireHopFailure;
import org.azurearch.thrift.WireLoad;
import org.azurearch.thrift.WireNodeRecords;
import org.azurearch.thrift.WirePulse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** When a link to a peer counts as up. */
class HopLinkTest {
    private static final long TICK_NANOS = 100_000_000L;

    /** Less than the silence after which an idle link is pinged. */
    private static final long SILENCE_NANOS = 1_900_000_000L;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = mGroup.next();
    private final HopNetwork mNetwork = new HopNetwork(mLoop);
    private final List<String> mEvents = Collections.synchronizedList(new ArrayList<>());

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully();
    }

    @Test
    void linkToPeerThatOnlyAcceptsConnectionsIsNotUp() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            HopLink link = open(new NetAddress("127.0.0.1", silent.getLocalPort()));
            try (Socket accepted = silent.accept()) {
                accepted.getInputStream().read();
                assertEquals(List.of("connected"), mEvents);
                assertFalse(onLoop(link::up));
                List<Verdict> verdicts = Collections.synchronizedList(new ArrayList<>());
                onLoop(() -> link.call(call(), new VerdictListener(verdicts)));
                assertEquals(List.of(Verdict.NOT_RUN), verdicts);
            }
            onLoop(() -> close(link));
        }
    }

    @Test
    void linkIsUpOnceThePeerHasAnswered() throws Exception {
        int port =
                mNetwork.listen(
                        new NetAddress("127.0.0.1", 0),
                        new AnsweringPeer(HopFrame.failure(failure())));
        HopLink link = open(new NetAddress("127.0.0.1", port));
        Await.until("the link is up", () -> mEvents.contains("up"));
        assertEquals(List.of("connected", "up"), mEvents.subList(0, 2));
        onLoop(() -> close(link));
    }

    /** Guards against a call that never ends, as a newer peer names a reason unknown here. */
    @Test
    void callEndsWithAnUnknownOutcomeIfItsFailureCannotBeRead() throws Exception {
        for (WireHopFailure odd :
                List.of(
                        failure().setVerdict(99),
                        failure().setVerdict(-1),
                        failure().setCode("?"))) {
            assertEquals(List.of(Verdict.MAY_HAVE_RUN), verdictsOf(HopFrame.failure(odd)));
        }
    }

    /** Guards against an answer that is lost, as a newer peer reports its load in more ranks. */
    @Test
    void answerWithMoreRanksThanAreKnownReachesItsCall() throws Exception {
        WireLoad load = new WireLoad(1, Collections.nCopies(9, 2), 0, 0);
        WireHopAnswer answer =
                new WireHopAnswer(1, 200, List.of(), ByteBuffer.allocate(0), load, 0);
        assertEquals(List.of(Verdict.RAN), verdictsOf(HopFrame.answer(answer)));
    }

    /** Guards against memory that fills up with calls for a peer that reads nothing. */
    @Test
    void callsForPeerThatReadsNothingAreRefusedBeyondLimit() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            HopLink link = open(new NetAddress("127.0.0.1", server.getLocalPort()));
            try (Socket peer = server.accept()) {
                ByteBuf frame = new FrameCodec().encode(HopFrame.failure(failure()));
                DataOutputStream out = new DataOutputStream(peer.getOutputStream());
                out.writeInt(frame.readableBytes());
                out.write(ByteBufUtil.getBytes(frame));
                Await.until("the link is up", () -> mEvents.contains("up"));
                List<Verdict> verdicts = Collections.synchronizedList(new ArrayList<>());
                onLoop(
                        () -> {
                            for (int id = 0; id < 1_000 && verdicts.isEmpty(); id++) {
                                link.call(largeCall(id), new VerdictListener(verdicts));
                            }
                            return verdicts;
                        });
                assertEquals(List.of(Verdict.NOT_RUN), verdicts);
            }
            onLoop(() -> close(link));
        }
    }

    /** Guards against calls for a VM that is gone, which the new holder of its address refuses. */
    @Test
    void linkToAddressOfAnotherNodeIsNotUp() throws Exception {
        NetAddress any = new NetAddress("127.0.0.1", 0);
        NodeRecord other = new NodeRecord("other", "a", any, 1, 0, false, true, null);
        HopFrame hello =
                HopFrame.records(new WireNodeRecords(List.of(HopWire.toWire(other)), true));
        CompletableFuture<Boolean> closed = new CompletableFuture<>();
        HopConnection.Listener peer =
                new HopConnection.Listener() {
                    @Override
                    public void opened(HopConnection connection) {}

                    @Override
                    public void received(HopConnection connection, HopFrame frame) {
                        connection.send(hello);
                    }

                    @Override
                    public void closed(HopConnection connection) {
                        closed.complete(true);
                    }
                };
        HopLink link = open(new NetAddress("127.0.0.1", mNetwork.listen(any, peer)));
        Await.until("the connection is closed", closed::isDone);
        assertFalse(mEvents.contains("up"));
        assertFalse(onLoop(link::up));
        onLoop(() -> close(link));
    }

    /** Guards against a silent link that is taken for one on which there is nothing new. */
    @Test
    void silenceAfterQuestionIsNoticedBeforeThatOfIdleLink() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            HopLink link = open(new NetAddress("127.0.0.1", server.getLocalPort()));
            try (Socket peer = server.accept()) {
                ByteBuf frame = new FrameCodec().encode(HopFrame.failure(failure()));
                DataOutputStream out = new DataOutputStream(peer.getOutputStream());
                out.writeInt(frame.readableBytes());
                out.write(ByteBufUtil.getBytes(frame));
                Await.until("the link is up", () -> mEvents.contains("up"));
                long now = System.nanoTime();
                assertTrue(tick(link, now, now + SILENCE_NANOS));
                onLoop(() -> ask(link));
                assertFalse(tick(link, now + SILENCE_NANOS, now + 2 * SILENCE_NANOS));
            }
            onLoop(() -> close(link));
        }
    }

    /** Ticks as time passes; returns whether the link is up at the end. */
    private boolean tick(HopLink link, long fromNanos, long toNanos) throws Exception {
        for (long now = fromNanos; now < toNanos; now += TICK_NANOS) {
            long time = now;
            onLoop(
                    () -> {
                        link.tick(time);
                        return true;
                    });
        }
        return onLoop(link::up);
    }

    private static boolean ask(HopLink link) {
        link.ask(HopFrame.pulse(new WirePulse(0, 0, false, 0)));
        return true;
    }

    private static HopCall largeCall(long id) {
        byte[] body = new byte[64 * 1024];
        return new HopCall(id, "GET", "/", List.of(), body, 0, 0, 1, "s", "r", false);
    }

    /** Guards against a peer of an earlier version, which passes on any status and header. */
    @Test
    void answerThatIsNoAnswerOfHttpEndsTheCallOnly() throws Exception {
        WireLoad load = new WireLoad(0, List.of(), 0, 0);
        WireHopAnswer answer =
                new WireHopAnswer(1, 200, List.of(), ByteBuffer.allocate(0), load, 0);
        for (WireHopAnswer odd :
                List.of(
                        answer.deepCopy().setStatus(0),
                        answer.deepCopy().setStatus(-1),
                        answer.deepCopy().setStatus(101),
                        answer.deepCopy().setStatus(600),
                        answer.deepCopy().setHeaders(List.of("x a", "b")),
                        answer.deepCopy().setHeaders(List.of("x\u0001", "b")),
                        answer.deepCopy().setHeaders(List.of("", "b")),
                        answer.deepCopy().setHeaders(List.of("x", "a\r\nb")),
                        answer.deepCopy().setHeaders(List.of("x", "a\u0000")),
                        answer.deepCopy().setHeaders(List.of("x")))) {
            assertEquals(List.of(Verdict.MAY_HAVE_RUN), verdictsOf(HopFrame.answer(odd)));
        }
    }

    private static WireHopFailure failure() {
        WireLoad load = new WireLoad(0, List.of(), 0, 0);
        return new WireHopFailure(1, 0, ErrorCode.INTERNAL.name(), true, 0, "", load);
    }

    /** Returns how a call ends to which a peer replies with a frame. */
    private List<Verdict> verdictsOf(HopFrame reply) throws Exception {
        mEvents.clear();
        int port = mNetwork.listen(new NetAddress("127.0.0.1", 0), new AnsweringPeer(reply));
        HopLink link = open(new NetAddress("127.0.0.1", port));
        Await.until("the link is up", () -> mEvents.contains("up"));
        List<Verdict> verdicts = Collections.synchronizedList(new ArrayList<>());
        onLoop(() -> link.call(call(), new VerdictListener(verdicts)));
        Await.until("the call has ended", () -> !verdicts.isEmpty());
        assertTrue(onLoop(link::up));
        onLoop(() -> close(link));
        return verdicts;
    }

    private HopLink open(NetAddress address) throws Exception {
        return onLoop(
                () -> new HopLink(mNetwork, mLoop, "peer", true, address, new RecordingListener()));
    }

    private static boolean close(HopLink link) {
        link.close();
        return true;
    }

    private <T> T onLoop(Supplier<T> task) throws Exception {
        return CompletableFuture.supplyAsync(task, mLoop).get();
    }

    private static HopCall call() {
        return new HopCall(1, "GET", "/", List.of(), new byte[0], 0, 0, 1, "s", "r", false);
    }

    /** Answers each frame as a running node does, and calls with a given frame. */
    private static final class AnsweringPeer implements HopConnection.Listener {
        private final HopFrame mReply;

        AnsweringPeer(HopFrame reply) {
            mReply = reply;
        }

        @Override
        public void opened(HopConnection connection) {}

        @Override
        public void received(HopConnection connection, HopFrame frame) {
            connection.send(
                    frame.isSetCall()
                            ? mReply
                            : HopFrame.records(new WireNodeRecords(List.of(), true)));
        }

        @Override
        public void closed(HopConnection connection) {}
    }

    private record VerdictListener(List<Verdict> verdicts) implements Attempt.Listener {
        @Override
        public void answered(BackendAnswer answer) {
            verdicts.add(Verdict.RAN);
        }

        @Override
        public void failed(AttemptFailure failure) {
            verdicts.add(failure.verdict());
        }
    }

    private final class RecordingListener implements HopLink.Listener {
        @Override
        public void connected(HopLink link) {
            mEvents.add("connected");
            link.send(HopFrame.pulse(new WirePulse(0, 0, false, 0)));
        }

        @Override
        public void connectionChanged(HopLink link, boolean up) {
            mEvents.add(up ? "up" : "down");
        }

        @Override
        public void usabilityChanged(HopLink link, boolean usable) {}

        @Override
        public void received(HopConnection connection, HopFrame frame) {}

        @Override
        public void loadReported(HopLink link, EndpointLoad load) {}
    }
}
