package org.azurearch.call;

import org.azurearch.events.EventCode;
import org.azurearch.events.EventInfo;

/** Events of the data path, numbers 500 to 599. */
public enum CallEvent implements EventCode {
    /** The listener for calls is bound. */
    LISTENING(500, Level.INFO, "taking calls on {}"),
    /** The listener for calls drains. */
    DRAINING(501, Level.INFO, "finishing {} calls before the stop"),
    /** A handler of the data path failed; the connection is closed. */
    HANDLER_FAILED(502, Level.ERROR, "the data path failed on a connection: {}"),
    /** Calls were still under way when the time for a planned stop ran out. */
    DRAIN_INCOMPLETE(503, Level.WARN, "stopping with {} calls under way"),
    /** A record of the claims stream is malformed and skipped. */
    CLAIM_MALFORMED(504, Level.WARN, "skipping the malformed claims record {}"),
    /** The backend server died with requests in flight, which are suspect from now on. */
    BACKEND_SERVER_CRASHED(505, Level.WARN, "crash {} of the backend server took {} requests"),
    /** A request took down a second backend server and is refused from now on. */
    REQUEST_CONTAINED(506, Level.ERROR, "request {} is contained after crashes: {}"),
    /** An operator released a contained request. */
    REQUEST_RELEASED(507, Level.INFO, "request {} is released"),
    /** A connection sent what is neither HTTP nor, where it is required, TLS. */
    CONNECTION_MALFORMED(508, Level.DEBUG, "closing a connection: {}"),
    /**
     * The requests that a node sends to itself at its start failed; it takes calls all the same.
     */
    WARM_UP_FAILED(509, Level.INFO, "the warm-up ended early: {}");

    private final EventInfo mInfo;

    CallEvent(int number, Level level, String message) {
        mInfo = new EventInfo(number, level, message);
    }

    @Override
    public EventInfo info() {
        return mInfo;
    }
}
