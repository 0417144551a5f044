package org.azurearch.standin;

import org.azurearch.events.EventCode;
import org.azurearch.events.EventInfo;

/** Events of the stand-ins and the experiment tool, numbers 700 to 799. */
public enum StandinEvent implements EventCode {
    /** The request handler of a stand-in threw an exception. */
    HANDLER_FAILED(700, Level.ERROR, "stand-in request handler failed for {}: {}"),
    /** A connection to a stand-in failed. */
    CONNECTION_FAILED(701, Level.WARN, "connection to a stand-in failed: {}"),
    /** The injected fault of the log stand-in was set. */
    LOG_FAULT_SET(702, Level.INFO, "log stand-in fault set to {}, delay {} ms"),
    /** An announcement of a backend server failed. */
    ANNOUNCEMENT_FAILED(703, Level.WARN, "announcement of service {} failed: {}"),
    /** A backend server stand-in simulates a crash on request. */
    BACKEND_CRASHED(704, Level.INFO, "simulating a crash of backend server {}");

    private final EventInfo mInfo;

    StandinEvent(int number, Level level, String message) {
        mInfo = new EventInfo(number, level, message);
    }

    @Override
    public EventInfo info() {
        return mInfo;
    }
}
