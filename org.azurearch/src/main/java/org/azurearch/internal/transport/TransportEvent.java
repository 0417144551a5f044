package org.azurearch.internal.transport;

import org.azurearch.events.EventCode;
import org.azurearch.events.EventInfo;

/** Events of the exchange between nodes, numbers 400 to 449. */
public enum TransportEvent implements EventCode {
    /** The listener for other nodes is bound. */
    PEER_LISTENING(400, Level.INFO, "taking exchanges from other nodes at {}"),
    /** A connection was refused because too many are open. */
    PEER_CONNECTION_REFUSED(401, Level.WARN, "refused a connection from {}: too many are open"),
    /** A message did not prove knowledge of the shared key, or was a replay. */
    PEER_UNAUTHENTICATED(402, Level.WARN, "closed a connection from {}: {}"),
    /** A connection failed. */
    PEER_CONNECTION_FAILED(403, Level.DEBUG, "connection with {} failed: {}"),
    /** A handler failed in a way that it does not declare. */
    PEER_HANDLER_FAILED(404, Level.ERROR, "handling a request of kind {} failed: {}");

    private final EventInfo mInfo;

    TransportEvent(int number, Level level, String message) {
        mInfo = new EventInfo(number, level, message);
    }

    @Override
    public EventInfo info() {
        return mInfo;
    }
}
