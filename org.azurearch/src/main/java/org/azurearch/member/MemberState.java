package org.azurearch.member;

/** State of a node in the membership. */
public enum MemberState {
    /** Responds to probes. */
    ALIVE,
    /** Did not respond to a probe and may still refute the suspicion. */
    SUSPECT,
    /** Shut down after announcing that it leaves. */
    LEFT,
    /** Did not refute the suspicion in time. */
    DEAD
}
