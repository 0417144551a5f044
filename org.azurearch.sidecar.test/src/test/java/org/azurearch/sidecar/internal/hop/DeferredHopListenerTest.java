package org.azurearch.sidecar.internal.hop;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import org.azurearch.thrift.HopFrame;
import org.junit.jupiter.api.Test;

/** Guards against a start held up by a peer that connects before the node is complete. */
class DeferredHopListenerTest {
    private final DeferredHopListener mListener = new DeferredHopListener();

    @Test
    void closesConnectionsOpenedBeforeTheDelegateIsSet() {
        assertFalse(connect().isOpen());
    }

    @Test
    void forwardsConnectionsOpenedAfterwards() {
        mListener.delegateTo(new IgnoringListener());
        assertTrue(connect().isOpen());
    }

    private EmbeddedChannel connect() {
        EmbeddedChannel channel = new EmbeddedChannel();
        HopConnection.install(channel, new FrameCodec(), mListener);
        channel.pipeline().fireChannelActive();
        channel.runPendingTasks();
        return channel;
    }

    /** Ignores all events. */
    private static final class IgnoringListener implements HopConnection.Listener {
        @Override
        public void opened(HopConnection connection) {}

        @Override
        public void received(HopConnection connection, HopFrame frame) {}

        @Override
        public void closed(HopConnection connection) {}
    }
}
