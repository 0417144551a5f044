package org.azurearch.call;

import org.azurearch.events.EventCode;
import org.azurearch.events.EventInfo;

/** Events of the data path, numbers 500 to 599. */
public enum CallEvent implements EventCode {
    /** The node accepts calls. */
    LISTENING(500, Level.INFO, "accepting calls on {}"),
    /** The node accepts no new calls and waits for the running ones. */
    DRAINING(501, Level.INFO, "draining, {} calls in flight"),
    /** An unexpected error occurred on a connection of the data path, which is closed. */
    HANDLER_FAILED(502, Level.ERROR, "unexpected error on a connection, closing it: {}"),
    /** Calls were still in flight at the drain timeout. */
    DRAIN_INCOMPLETE(503, Level.WARN, "drain timed out, stopping with {} calls in flight"),
    /** A malformed record of the claims stream is skipped. */
    CLAIM_MALFORMED(504, Level.WARN, "skipping malformed claims record at offset {}"),
    /** The backend server crashed; the requests in flight become suspects. */
    BACKEND_SERVER_CRASHED(505, Level.WARN, "backend server crash {} with {} requests in flight"),
    /** A request was in flight at its second crash and is refused from now on. */
    REQUEST_CONTAINED(506, Level.ERROR, "request {} contained after repeated crashes: {}"),
    /** An operator ended the containment of a request. */
    REQUEST_RELEASED(507, Level.INFO, "request {} released from containment"),
    /** A connection sent malformed HTTP, or no TLS where it is required. */
    CONNECTION_MALFORMED(508, Level.DEBUG, "closing malformed connection: {}"),
    /** Warm-up requests, which a node sends to itself at its start, failed; it starts anyway. */
    WARM_UP_FAILED(509, Level.INFO, "warm-up failed, continuing without it: {}"),
    /** Requests were refused, as the memory for requests is used up. */
    REQUEST_MEMORY_FULL(510, Level.WARN, "refused {} requests, as requests take {} bytes");

    private final EventInfo mInfo;

    CallEvent(int number, Level level, String message) {
        mInfo = new EventInfo(number, level, message);
    }

    @Override
    public EventInfo info() {
        return mInfo;
    }
}
