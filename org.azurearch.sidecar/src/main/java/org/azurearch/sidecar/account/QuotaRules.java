package org.azurearch.sidecar.account;

import org.azurearch.sidecar.FeatureSettings.QuotaBound;
import org.azurearch.sidecar.member.ShareHolders;

/**
 * Divides the tolerance of a quota among the reasons to exceed rate and burst. In a window W an
 * account may run (rate x W + burst) x (1 + over) + slack requests; what that leaves above rate and
 * burst is its headroom.
 *
 * @param bound the tolerance
 */
record QuotaRules(QuotaBound bound) {
    /** How long a delegation and the tokens granted under it are valid. */
    static final long LEASE_MILLIS = ShareHolders.LEASE_MILLIS;

    /** Interval at which a node renews its delegation; two renewals may be lost. */
    static final long RENEW_MILLIS = 500;

    /**
     * How long tokens for waiting requests are valid, from the message that asked for them. A short
     * time keeps those that are spent already from counting as stored until they are reported.
     */
    static final long URGENT_MILLIS = 100;

    /** Time without requests of the most urgent rank after which no token is kept for them. */
    static final long RESERVE_MILLIS = 2_000;

    /** Wait that a coordinator names for a scarce account that still has a token. */
    static final int NO_WAIT_MILLIS = 1;

    /**
     * Part of the headroom for tokens that nodes hold, which are stored beside the burst. The rest
     * covers views of the number of nodes that differ, {@link #DEAD_NODES} and, where nodes spend
     * their base shares, the random times of their tokens.
     */
    private static final double HELD_PART = 0.45;

    /**
     * Factor by which a coordinator raises the delegated part of a rate, at most to the whole rate,
     * so that nodes that are down do not reduce it. Both sides of a partition together may thereby
     * exceed the rate by this factor.
     */
    static final double DEAD_NODES = 1.03;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns the tokens that a coordinator and its nodes may store for an account in total. */
    double capacity(ClientAccount account) {
        return account.burst() + HELD_PART * headroom(account);
    }

    /** Returns the largest number of requests of an account that may run in a window. */
    double limit(ClientAccount account) {
        return nominal(account) + headroom(account);
    }

    private double headroom(ClientAccount account) {
        return nominal(account) * bound.overFraction() + bound.slack();
    }

    private double nominal(ClientAccount account) {
        return account.ratePerSecond() * bound.windowMillis() / MILLIS_PER_SECOND + account.burst();
    }
}
