package org.azurearch.standin;

import org.azurearch.events.EventCode;
import org.azurearch.events.EventInfo;

/** Events of the stand-ins and the experiment tool, numbers 700 to 799. */
public enum StandinEvent implements EventCode {
    /** A request handler of a stand-in failed. */
    HANDLER_FAILED(700, Level.ERROR, "stand-in failed on {}: {}"),
    /** A connection to a stand-in failed. */
    CONNECTION_FAILED(701, Level.WARN, "connection to a stand-in failed: {}"),
    /** The fault of the log stand-in was switched. */
    LOG_FAULT_SET(702, Level.INFO, "log stand-in now has fault {} with delay {} ms"),
    /** An announcement of a backend server failed. */
    ANNOUNCEMENT_FAILED(703, Level.WARN, "announcement to {} failed: {}"),
    /** A backend server crashes on command. */
    BACKEND_CRASHED(704, Level.INFO, "backend server {} crashes on command");

    private final EventInfo mInfo;

    StandinEvent(int number, Level level, String message) {
        mInfo = new EventInfo(number, level, message);
    }

    @Override
    public EventInfo info() {
        return mInfo;
    }
}
