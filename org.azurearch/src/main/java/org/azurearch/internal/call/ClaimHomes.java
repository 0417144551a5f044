package org.azurearch.internal.call;

import java.util.List;
import org.azurearch.member.Member;
import org.azurearch.member.Rendezvous;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the home nodes in a data centre that claim keys, so that only a few nodes read the claims
 * stream. Nodes with different membership views may choose differently; this is safe, since the
 * first claim in the log wins.
 */
final class ClaimHomes {
    private static final int HOMES_PER_DATA_CENTRE = 2;
    private static final String RENDEZVOUS_KEY = "claims";

    private ClaimHomes() {}

    /** Returns the home node of a key, or null when no node is reachable. */
    static @Nullable Member of(List<Member> reachable, String key) {
        List<Member> homes = Rendezvous.top(RENDEZVOUS_KEY, reachable, HOMES_PER_DATA_CENTRE);
        return homes.isEmpty() ? null : homes.get(Math.floorMod(key.hashCode(), homes.size()));
    }
}
