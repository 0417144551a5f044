package org.azurearch.node;

import org.azurearch.events.EventCode;
import org.azurearch.events.EventInfo;

/** Events of the node daemon and its administration API, numbers 600 to 699. */
public enum NodeEvent implements EventCode {
    /** The node runs. */
    NODE_STARTED(600, Level.INFO, "node {} started: calls {}, admin {}, peers {}"),
    /** The node stops by plan. */
    NODE_STOPPING(601, Level.INFO, "node {} is stopping"),
    /** The node has stopped. */
    NODE_STOPPED(602, Level.INFO, "node {} has stopped"),
    /** A request to the administration API failed in an unexpected way. */
    ADMIN_REQUEST_FAILED(610, Level.ERROR, "request {} failed: {}"),
    /** A change was handed in. */
    CHANGE_SUBMITTED(611, Level.INFO, "change {} of {} by {} appended at {}"),
    /** An operator drained the backend server. */
    DRAIN_ASKED(612, Level.INFO, "drain asked by {}"),
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
