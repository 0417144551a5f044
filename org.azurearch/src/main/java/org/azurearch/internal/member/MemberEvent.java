package org.azurearch.internal.member;

import org.azurearch.events.EventCode;
import org.azurearch.events.EventInfo;

/** Events of membership and of the backend server behind the node, numbers 450 to 499. */
public enum MemberEvent implements EventCode {
    /** Another node answered for the first time since the start. */
    JOINED(450, Level.INFO, "joined the mesh, {} nodes known"),
    /** This node tells the others that it leaves. */
    LEAVING(451, Level.INFO, "leaving the mesh"),
    /** Fewer nodes than wanted answered before this node stops. */
    LEAVE_UNCONFIRMED(452, Level.WARN, "{} of {} nodes confirmed that this node leaves"),
    /** The state of a node changed. */
    MEMBER_CHANGED(453, Level.INFO, "node {} of {} is {}"),
    /** The state of the backend server behind this node changed. */
    BACKEND_CHANGED(454, Level.INFO, "backend server {} of {} is {}"),
    /** The join record could not be written. */
    JOIN_RECORD_FAILED(455, Level.WARN, "join record not written: {}"),
    /** The join records could not be read. */
    JOIN_RECORDS_UNREAD(456, Level.WARN, "join records not read: {}"),
    /** A join record is malformed and is skipped. */
    JOIN_RECORD_MALFORMED(457, Level.WARN, "join record at offset {} skipped: {}"),
    /** An authenticated reply holds values outside their range and is ignored. */
    REPLY_MALFORMED(458, Level.WARN, "reply ignored: {}");

    private final EventInfo mInfo;

    MemberEvent(int number, Level level, String message) {
        mInfo = new EventInfo(number, level, message);
    }

    @Override
    public EventInfo info() {
        return mInfo;
    }
}
