package org.azurearch.member;

/** State of a node in the membership. */
public enum MemberState {
    /** It answers. */
    ALIVE,
    /** It did not answer a probe and may refute the suspicion. */
    SUSPECT,
    /** It stopped by plan. */
    LEFT,
    /** It did not refute the suspicion in time. */
    DEAD
}
