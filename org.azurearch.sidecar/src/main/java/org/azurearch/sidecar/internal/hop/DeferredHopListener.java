package org.azurearch.sidecar.internal.hop;

import org.azurearch.thrift.HopFrame;
import org.jspecify.annotations.Nullable;

/**
 * Stands before the listener of connections until the node is complete: what comes earlier is
 * closed, and the other node tries again. Confined to one event loop.
 */
public final class DeferredHopListener implements HopConnection.Listener {
    private HopConnection.@Nullable Listener mDelegate;

    /** Lets connections through from now on. */
    public void delegateTo(HopConnection.Listener target) {
        mDelegate = target;
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
