package org.azurearch.sidecar.internal.hop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.azurearch.junit.Await;
import org.azurearch.thrift.HopFrame;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** What a connection between two nodes takes for a sign of life. */
class HopConnectionTest {
    private static final int FRAME_BYTES = 90_000;
    private static final int PART_BYTES = 1_460;

    private @Nullable HopConnection mConnection;
    private int mReceived;

    @Test
    void peerWhoseLongFrameIsStillArrivingIsNotSilent() {
        EmbeddedChannel channel = new EmbeddedChannel();
        HopConnection.install(channel, new FrameCodec(), new RecordingListener());
        channel.pipeline().fireChannelActive();
        HopConnection connection = mConnection;
        assertNotNull(connection);
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
