package org.azurearch.internal.config;

/** The numbers of the rule sets by which changes are judged. Each holds all rules before it. */
public final class RuleSets {
    /** The rule set of an empty stream. */
    public static final int FIRST = 1;

    /** From this one on, a call must not be allowed to queue for its whole deadline. */
    public static final int QUEUE_WAIT_WITHIN_DEADLINE = 2;

    /** The newest rule set that this program knows. */
    public static final int NEWEST = QUEUE_WAIT_WITHIN_DEADLINE;

    private RuleSets() {}
}
