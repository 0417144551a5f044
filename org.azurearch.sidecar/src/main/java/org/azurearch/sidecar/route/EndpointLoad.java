package org.azurearch.sidecar.route;

import java.util.Collections;
import java.util.List;

/**
 * How busy a backend server is, as the node in front of it says.
 *
 * @param running requests that it works on now
 * @param waiting requests that wait in front of it, for each of {@link #RANK_COUNT} ranks; the last
 *     one holds all that are less urgent
 * @param workMillis how long it works on a request on average; 0 if not known
 * @param failurePercent how many of the last requests it failed or rejected, in percent
 */
public record EndpointLoad(
        int running, List<Integer> waiting, double workMillis, int failurePercent) {
    /** Ranks told apart; configurations of the users have three. */
    public static final int RANK_COUNT = 4;

    /** Nothing is known. */
    public static final EndpointLoad UNKNOWN =
            new EndpointLoad(0, Collections.nCopies(RANK_COUNT, 0), 0, 0);

    /** Checks the number of ranks. */
    public EndpointLoad {
        if (waiting.size() != RANK_COUNT) {
            throw new IllegalArgumentException("ranks: " + waiting.size());
        }
    }

    /** Returns the place of a rank among those told apart. */
    public static int rankIndex(int rank) {
        return Math.max(0, Math.min(rank, RANK_COUNT - 1));
    }

    /** Returns how many wait that go before a new request of a rank. */
    public int waitingUpTo(int rank) {
        int sum = 0;
        for (int i = 0; i <= rankIndex(rank); i++) {
            sum += waiting.get(i);
        }
        return sum;
    }
}
