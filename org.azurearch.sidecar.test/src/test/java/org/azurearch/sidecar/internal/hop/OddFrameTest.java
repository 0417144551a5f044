package org.azurearch.sidecar.internal.hop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WireNodeRecords;
import org.junit.jupiter.api.Test;

/** Guards against frames that end the connection, and with it all calls, without need. */
class OddFrameTest {
    private final List<HopFrame._Fields> mReceived = new ArrayList<>();
    private final EmbeddedChannel mChannel = new EmbeddedChannel();

    OddFrameTest() {
        HopConnection.install(mChannel, new FrameCodec(), new RecordingListener());
    }

    @Test
    void frameOfUnknownKindIsPassedOver() {
        // field 99, a struct with a number
        byte[] unknown = {0x0c, (byte) 0xc6, 1, 0x15, 2, 0, 0};
        write(unknown);
        write(new FrameCodec().encode(HopFrame.records(new WireNodeRecords(List.of(), true))));
        assertTrue(mChannel.isOpen());
        assertEquals(List.of(HopFrame._Fields.RECORDS), mReceived);
    }

    @Test
    void malformedFrameEndsOnlyItsConnection() {
        byte[] nested = new byte[300_000];
        Arrays.fill(nested, (byte) 0x1c);
        write(nested);
        assertFalse(mChannel.isOpen());
        assertEquals(List.of(), mReceived);
    }

    @Test
    void frameLongerThanTheLimitEndsOnlyItsConnection() {
        mChannel.writeInbound(Unpooled.buffer().writeInt(Integer.MAX_VALUE).writeByte(1));
        assertFalse(mChannel.isOpen());
    }

    private void write(byte[] frame) {
        write(Unpooled.wrappedBuffer(frame));
    }

    private void write(ByteBuf frame) {
        mChannel.writeInbound(Unpooled.buffer().writeInt(frame.readableBytes()).writeBytes(frame));
        mChannel.runPendingTasks();
    }

    /** Records the kinds of the frames. */
    private final class RecordingListener implements HopConnection.Listener {
        @Override
        public void opened(HopConnection connection) {}

        @Override
        public void received(HopConnection connection, HopFrame frame) {
            mReceived.add(frame.getSetField());
        }

        @Override
        public void closed(HopConnection connection) {}
    }
}
