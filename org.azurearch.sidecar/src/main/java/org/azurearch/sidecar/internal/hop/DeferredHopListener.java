package org.azurearch.sidecar.internal.hop;

import org.azurearch.thrift.HopFrame;
import org.jspecify.annotations.Nullable;

/**
 * Forwards events to a listener that is set once the node has started. Connections opened earlier
 * are closed, and the peer reconnects. Confined to one event loop.
 */
public final class DeferredHopListener implements HopConnection.Listener {
    private HopConnection.@Nullable Listener mDelegate;

    /** Sets the listener that receives all events from now on. */
    public void delegateTo(HopConnection.Listener listener) {
        mDelegate = listener;
    }

    @Override
    public void opened(HopConnection connection) {
        if (mDelegate == null) {
            connection.close();
        } else {
            mDelegate.opened(connection);
        }
    }

    @Override
    public void received(HopConnection connection, HopFrame frame) {
        if (mDelegate != null) {
            mDelegate.received(connection, frame);
        }
    }

    @Override
    public void closed(HopConnection connection) {
        if (mDelegate != null) {
            mDelegate.closed(connection);
        }
    }
}
