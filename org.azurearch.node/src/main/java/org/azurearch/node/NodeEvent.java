package org.azurearch.node;

import org.azurearch.events.EventCode;
import org.azurearch.events.EventInfo;

/** Events of the node daemon and its administration API, numbers 600 to 699. */
public enum NodeEvent implements EventCode {
    /** The node has started. */
    NODE_STARTED(600, Level.INFO, "node {} started: calls {}, admin {}, peers {}"),
    /** The node begins its shutdown. */
    NODE_STOPPING(601, Level.INFO, "node {} is stopping"),
    /** The node has stopped. */
    NODE_STOPPED(602, Level.INFO, "node {} has stopped"),
    /** A request to the administration API failed with an unexpected exception. */
    ADMIN_REQUEST_FAILED(610, Level.ERROR, "request {} failed: {}"),
    /** A submitted change was appended to the log. */
    CHANGE_SUBMITTED(611, Level.INFO, "change {} of firm {} by operator {} appended at offset {}"),
    /** An operator requested to drain the backend server. */
    DRAIN_ASKED(612, Level.INFO, "drain requested by {}"),
    /** An operator released a contained request. */
    CONTAINMENT_RELEASED(613, Level.INFO, "contained request {} released by {}");

    private final EventInfo mInfo;

    NodeEvent(int number, Level level, String message) {
        mInfo = new EventInfo(number, level, message);
    }

    @Override
    public EventInfo info() {
        return mInfo;
    }
}
