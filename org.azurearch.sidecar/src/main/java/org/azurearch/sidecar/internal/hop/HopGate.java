package org.azurearch.sidecar.internal.hop;

import org.azurearch.thrift.HopFrame;
import org.jspecify.annotations.Nullable;

/**
 * Stands before the listener of connections until the node is complete: what comes earlier is
 * closed, and the other node tries again. Confined to one event loop.
 */
public final class HopGate implements HopConnection.Listener {
    private HopConnection.@Nullable Listener mTarget;

    /** Lets connections through from now on. */
    public void open(HopConnection.Listener target) {
        mTarget = target;
    }

    @Override
    public void opened(HopConnection connection) {
        if (mTarget == null) {
            connection.close();
        } else {
            mTarget.opened(connection);
        }
    }

    @Override
    public void received(HopConnection connection, HopFrame frame) {
        if (mTarget != null) {
            mTarget.received(connection, frame);
        }
    }

    @Override
    public void closed(HopConnection connection) {
        if (mTarget != null) {
            mTarget.closed(connection);
        }
    }
}
