package org.azurearch.internal.config;

/** The numbers of the rule sets that changes are validated by. Each includes all earlier ones. */
public final class RuleSets {
    /** The rule set of an empty stream. */
    public static final int FIRST = 1;

    /** Adds the rule that a call must not be able to wait in the queue for its whole deadline. */
    public static final int QUEUE_WAIT_WITHIN_DEADLINE = 2;

    /** The newest rule set that this release supports. */
    public static final int NEWEST = QUEUE_WAIT_WITHIN_DEADLINE;

    private RuleSets() {}
}
