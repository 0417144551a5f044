package org.azurearch.sidecar.internal.hop;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import org.azurearch.thrift.HopFrame;
import org.junit.jupiter.api.Test;

/** A connection that another node opens while this one starts must not hold up the start. */
class DeferredHopListenerTest {
    private final DeferredHopListener mGate = new DeferredHopListener();

    @Test
    void closesWhatComesBeforeTheNodeIsComplete() {
        assertFalse(connect().isOpen());
    }

    @Test
    void letsThroughWhatComesAfterwards() {
        mGate.delegateTo(new Ignoring());
        assertTrue(connect().isOpen());
    }

    private EmbeddedChannel connect() {
        EmbeddedChannel channel = new EmbeddedChannel();
        HopConnection.install(channel, new FrameCodec(), mGate);
        channel.pipeline().fireChannelActive();
        channel.runPendingTasks();
        return channel;
    }

    /** Takes connections and does nothing with them. */
    private static final class Ignoring implements HopConnection.Listener {
        @Override
        public void opened(HopConnection connection) {}

        @Override
        public void received(HopConnection connection, HopFrame frame) {}

        @Override
        public void closed(HopConnection connection) {}
    }
}
