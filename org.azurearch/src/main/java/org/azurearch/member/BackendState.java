package org.azurearch.member;

/** State of a backend server, as determined by its node. */
public enum BackendState {
    /** Announced and warming up; receives no calls. */
    STARTING,
    /** Receives calls. */
    READY,
    /** Shutting down: receives no new calls and finishes those in flight. */
    DRAINING,
    /** Not available: it left, its announcement expired, or its probes or calls fail. */
    ABSENT
}
