package org.azurearch.sidecar;

import org.azurearch.events.EventCode;
import org.azurearch.events.EventInfo;

/** Events of a node on a platform that keeps the configuration, numbers 800 to 899. */
public enum SidecarEvent implements EventCode {
    /** The node has started. */
    STARTED(800, Level.INFO, "node={} incarnation={} calls={} peers={} in {} ms"),
    /** A planned stop begins. */
    STOPPING(801, Level.INFO, "calls={} grace_ms={}"),
    /** A planned stop ends. */
    STOPPED(802, Level.INFO, "calls={} after {} ms"),
    /** The settings were read again. */
    RELOADED(803, Level.INFO, "service={} backend={}"),
    /** The settings could not be read again; the old ones stay in force. */
    RELOAD_FAILED(804, Level.WARN, "settings unchanged: {}"),
    /** The node takes calls, or no longer does. */
    READINESS(805, Level.INFO, "ready={} config={} members={}"),
    /** The platform's store cannot be reached. */
    STORE_DOWN(810, Level.WARN, "what={} reason={}"),
    /** The platform's store can be reached again. */
    STORE_UP(811, Level.INFO, "what={} after {} ms"),
    /** The store has removed records, so that the newest of each key are read. */
    STORE_HISTORY_GONE(812, Level.INFO, "stream={} offset={}"),
    /** A record of the store cannot be read and changes nothing. */
    STORE_RECORD_UNREADABLE(813, Level.WARN, "stream={} key={} offset={} reason={}"),
    /** This node reads the store for its data centre, or no longer does. */
    READER(814, Level.INFO, "reader={} rank={}"),
    /** A configuration came into force. */
    CONFIG_IN_FORCE(820, Level.INFO, "version={} before={} routes={} source={}"),
    /** A configuration cannot be read; the old one stays in force. */
    CONFIG_UNREADABLE(821, Level.ERROR, "source={} reason={}"),
    /** The backend server behind this node changed. */
    BACKEND_CHANGED(830, Level.INFO, "instance={} service={} ready={} slots={} cause={}"),
    /** A heartbeat of the backend server is passed over. */
    BACKEND_REPORT_IGNORED(831, Level.INFO, "instance={} sequence={} reason={}"),
    /** The link to another node is up or down. */
    LINK(840, Level.INFO, "node={} up={}"),
    /** A connection to another node failed. */
    HOP_CONNECTION_FAILED(841, Level.INFO, "peer={} reason={}"),
    /** A connection to another node fell silent and is closed. */
    HOP_SILENT(842, Level.WARN, "node={} silent_ms={}"),
    /** Another node's record changed. */
    MEMBER(843, Level.INFO, "node={} dc={} incarnation={} leaving={} backend={} ready={}"),
    /** A call did not end with an answer of a backend server. */
    CALL_FAILED(
            850,
            Level.INFO,
            "id={} route={} service={} config={} status={} code={} verdict={} attempts={} ms={}"
                    + " retry_after_ms={} detail={}"),
    /** One sending of a call failed, and what follows. */
    ATTEMPT_FAILED(
            851, Level.INFO, "id={} node={} attempt={} code={} verdict={} next={} detail={}"),
    /** A call ended with an answer; one in a hundred is logged. */
    CALL_ANSWERED(852, Level.INFO, "id={} route={} status={} node={} attempts={} ms={}"),
    /** The caller left before the answer. */
    CALL_CANCELLED(853, Level.INFO, "id={} route={} attempts={} ms={}"),
    /** Lines about calls were left out since the rate of lines is bounded. */
    CALL_LINES_DROPPED(854, Level.WARN, "count={}"),
    /** A connection from a caller is closed because of what it sent. */
    CALLER_MALFORMED(855, Level.INFO, "peer={} reason={}"),
    /** A handler failed; the connection is closed. */
    HANDLER_FAILED(856, Level.ERROR, "where={} reason={}");

    private final EventInfo mInfo;

    SidecarEvent(int number, Level level, String message) {
        mInfo = new EventInfo(number, level, message);
    }

    @Override
    public EventInfo info() {
        return mInfo;
    }
}
