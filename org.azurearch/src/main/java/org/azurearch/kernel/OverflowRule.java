package org.azurearch.kernel;

/** What a full ring does with one more message. */
public enum OverflowRule {
    /** The new message is rejected and the sender is told. */
    REJECT_NEWEST,
    /** The oldest message is dropped to make room; for messages that a later one supersedes. */
    DROP_OLDEST
}
