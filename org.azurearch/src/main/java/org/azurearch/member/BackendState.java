package org.azurearch.member;

/** State of a backend server as its node knows it. */
public enum BackendState {
    /** It has announced itself and warms up; it gets no calls. */
    STARTING,
    /** It takes calls. */
    READY,
    /** It is leaving: it gets no new calls and finishes those in flight. */
    DRAINING,
    /** It is absent: it left, its announcement lapsed, or its probes fail. */
    ABSENT
}
