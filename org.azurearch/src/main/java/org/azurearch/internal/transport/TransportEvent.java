package org.azurearch.internal.transport;

import org.azurearch.events.EventCode;
import org.azurearch.events.EventInfo;

/** Events of the transport between nodes, numbers 400 to 449. */
public enum TransportEvent implements EventCode {
    /** The listener for peers is bound. */
    PEER_LISTENING(400, Level.INFO, "listening for peers at {}"),
    /** A connection was refused because a limit of open connections is reached. */
    PEER_CONNECTION_REFUSED(
            401, Level.WARN, "refused a connection from {}: too many open connections"),
    /** A message was not sealed with a shared key, or was a replay. */
    PEER_UNAUTHENTICATED(
            402, Level.WARN, "authentication failed, closing the connection from {}: {}"),
    /** A connection failed. */
    PEER_CONNECTION_FAILED(403, Level.DEBUG, "connection with {} failed: {}"),
    /** A handler failed with an undeclared exception. */
    PEER_HANDLER_FAILED(404, Level.ERROR, "handler of {} requests failed: {}");

    private final EventInfo mInfo;

    TransportEvent(int number, Level level, String message) {
        mInfo = new EventInfo(number, level, message);
    }

    @Override
    public EventInfo info() {
        return mInfo;
    }
}
