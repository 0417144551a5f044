package org.azurearch.kernel;

/** What a full ring does with another message. */
public enum OverflowRule {
    /** The new message is rejected; {@link Duty#offer} returns false. */
    REJECT_NEWEST,
    /**
     * The oldest message is dropped to make room; for messages that are superseded by later ones.
     */
    DROP_OLDEST
}
