package org.azurearch.sidecar.internal.hop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.azurearch.junit.Await;
import org.azurearch.sidecar.call.BackendAnswer;
import org.azurearch.sidecar.route.EndpointLoad;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WireHopPing;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Long frames on a connection between two nodes. */
class HopConnectionTest {
    private static final int FRAME_BYTES = 90_000;
    private static final int PART_BYTES = 1_460;

    private final FrameCodec mCodec = new FrameCodec();
    private @Nullable HopConnection mConnection;
    private int mReceived;
    private EndpointLoad mLoad = new EndpointLoad(0, List.of(), 1, 0);

    @Test
    void peerWhoseLongFrameIsStillArrivingIsNotSilent() {
        EmbeddedChannel channel = new EmbeddedChannel();
        HopConnection connection = open(channel);
        channel.writeInbound(Unpooled.buffer().writeInt(FRAME_BYTES));
        for (int part = 0; part < 3; part++) {
            long before = System.nanoTime();
            Await.until("the clock advances", () -> System.nanoTime() - before > 0);
            ByteBuf bytes = Unpooled.buffer().writeZero(PART_BYTES);
            channel.writeInbound(bytes);
            assertTrue(connection.lastReadNanos() - before > 0, "after part " + part);
        }
        assertEquals(0, mReceived);
        channel.close();
    }

    @Test
    void urgentAnswersAndPingsPrecedeDownloadsThatTheSocketHasNotAccepted() {
        EmbeddedChannel channel = new EmbeddedChannel();
        HopConnection connection = open(channel);
        setWritable(channel, false);
        connection.sendAnswer(answer(1, FRAME_BYTES), 1, () -> mLoad);
        connection.sendAnswer(answer(2, FRAME_BYTES), 1, () -> mLoad);
        connection.sendAnswer(answer(3, 400), 0, () -> mLoad);
        connection.send(HopFrame.ping(new WireHopPing(true)));
        setWritable(channel, true);
        assertEquals(List.of("ping", "3", "1", "2"), sent(channel));
        channel.close();
    }

    @Test
    void answersOfOneRankAreSentInOrder() {
        EmbeddedChannel channel = new EmbeddedChannel();
        HopConnection connection = open(channel);
        for (int id = 1; id <= 3; id++) {
            connection.sendAnswer(answer(id, FRAME_BYTES), 1, () -> mLoad);
        }
        channel.runPendingTasks();
        assertEquals(List.of("1", "2", "3"), sent(channel));
        channel.close();
    }

    /** Guards against a load that was taken before that of an answer sent earlier. */
    @Test
    void answerThatWaitedForTheSocketHasTheLoadOfItsSending() {
        EmbeddedChannel channel = new EmbeddedChannel();
        HopConnection connection = open(channel);
        setWritable(channel, false);
        connection.sendAnswer(answer(1, FRAME_BYTES), 1, () -> mLoad);
        mLoad = new EndpointLoad(4, List.of(3), 1, 20);
        connection.sendAnswer(answer(2, 400), 0, () -> mLoad);
        mLoad = new EndpointLoad(4, List.of(9), 1, 60);
        setWritable(channel, true);
        List<HopFrame> frames = frames(channel);
        assertEquals(List.of("2", "1"), frames.stream().map(HopConnectionTest::name).toList());
        for (HopFrame frame : frames) {
            assertEquals(mLoad, HopWire.fromWire(frame.getAnswer().getLoad()));
            assertEquals(200, frame.getAnswer().getStatus());
        }
        assertEquals(FRAME_BYTES, frames.get(1).getAnswer().getBody().length);
        channel.close();
    }

    private HopConnection open(EmbeddedChannel channel) {
        HopConnection.install(channel, mCodec, new RecordingListener());
        channel.pipeline().fireChannelActive();
        return Objects.requireNonNull(mConnection);
    }

    private static void setWritable(EmbeddedChannel channel, boolean writable) {
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, writable);
        channel.runPendingTasks();
    }

    private HopFrame answer(long id, int bytes) {
        BackendAnswer answer = new BackendAnswer(200, List.of(), new byte[bytes], 1);
        return HopFrame.answer(HopWire.toWire(id, answer, mLoad));
    }

    private static String name(HopFrame frame) {
        return frame.isSetPing() ? "ping" : Long.toString(frame.getAnswer().getId());
    }

    private List<String> sent(EmbeddedChannel channel) {
        return frames(channel).stream().map(HopConnectionTest::name).toList();
    }

    private List<HopFrame> frames(EmbeddedChannel channel) {
        ByteBuf bytes = Unpooled.buffer();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            bytes.writeBytes(part);
        }
        List<HopFrame> frames = new ArrayList<>();
        while (bytes.isReadable()) {
            frames.add(mCodec.decode(bytes.readSlice(bytes.readInt())));
        }
        return frames;
    }

    private final class RecordingListener implements HopConnection.Listener {
        @Override
        public void opened(HopConnection connection) {
            mConnection = connection;
        }

        @Override
        public void received(HopConnection connection, HopFrame frame) {
            mReceived++;
        }

        @Override
        public void closed(HopConnection connection) {}
    }
}
