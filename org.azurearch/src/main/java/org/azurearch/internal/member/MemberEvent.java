package org.azurearch.internal.member;

import org.azurearch.events.EventCode;
import org.azurearch.events.EventInfo;

/** Events of membership and of the backend server beside the node, numbers 450 to 499. */
public enum MemberEvent implements EventCode {
    /** A peer answered for the first time since the start. */
    JOINED(450, Level.INFO, "joined the mesh, {} nodes known"),
    /** This node notifies peers that it is leaving. */
    LEAVING(451, Level.INFO, "leaving the mesh"),
    /** Not all notified peers answered before this node stops. */
    LEAVE_UNCONFIRMED(452, Level.WARN, "{} of {} nodes confirmed that this node leaves"),
    /** The state of a node changed. */
    MEMBER_CHANGED(453, Level.INFO, "node {} of {} is {}"),
    /** The state of the backend server beside this node changed. */
    BACKEND_CHANGED(454, Level.INFO, "backend server {} of {} is {}"),
    /** The join record could not be appended to the log. */
    JOIN_RECORD_FAILED(455, Level.WARN, "cannot append join record: {}"),
    /** The join records could not be read. */
    JOIN_RECORDS_UNREAD(456, Level.WARN, "cannot read join records: {}"),
    /** A join record is malformed and is skipped. */
    JOIN_RECORD_MALFORMED(457, Level.WARN, "malformed join record at offset {} skipped: {}"),
    /** An authenticated reply holds values outside their range and is ignored. */
    REPLY_MALFORMED(458, Level.WARN, "malformed reply ignored: {}"),
    /** A member in gossip holds values outside their range and is ignored. */
    MEMBER_MALFORMED(459, Level.WARN, "malformed member {} ignored: {}");

    private final EventInfo mInfo;

    MemberEvent(int number, Level level, String message) {
        mInfo = new EventInfo(number, level, message);
    }

    @Override
    public EventInfo info() {
        return mInfo;
    }
}
