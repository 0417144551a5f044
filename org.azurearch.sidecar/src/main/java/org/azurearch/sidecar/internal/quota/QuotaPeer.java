package org.azurearch.sidecar.internal.quota;

import org.azurearch.sidecar.internal.hop.HopConnection;
import org.azurearch.thrift.WireQuotaMessage;

/** Handles the messages about quotas. Confined to one event loop. */
public interface QuotaPeer {
    /** Ignores all messages, for a node without quotas. */
    QuotaPeer NONE =
            new QuotaPeer() {
                @Override
                public void received(HopConnection connection, WireQuotaMessage message) {}

                @Override
                public void tick() {}
            };

    /** Handles a message of a peer. */
    void received(HopConnection connection, WireQuotaMessage message);

    /** Called about ten times a second. */
    void tick();
}
