package org.azurearch.standin.load;

import java.time.Duration;
import java.util.List;

/**
 * What load is sent.
 *
 * @param kinds the mix
 * @param perSecond requests a second over all targets
 * @param duration how long requests are sent
 * @param connections the most connections to each target
 * @param timeout after which a request counts as lost
 * @param resends how often a caller sends a request again whose outcome it does not know
 * @param seed the seed of the mix
 */
public record LoadPlan(
        List<RequestKind> kinds,
        int perSecond,
        Duration duration,
        int connections,
        Duration timeout,
        int resends,
        long seed) {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int CONNECTIONS = 64;

    /** Takes a copy of the mix. */
    public LoadPlan {
        kinds = List.copyOf(kinds);
    }

    /** Returns a plan without resends. */
    public static LoadPlan of(
            List<RequestKind> kinds, int perSecond, Duration duration, long seed) {
        return new LoadPlan(kinds, perSecond, duration, CONNECTIONS, TIMEOUT, 0, seed);
    }

    /** Returns the plan with resends. */
    public LoadPlan withResends(int most) {
        return new LoadPlan(kinds, perSecond, duration, connections, timeout, most, seed);
    }

    /** Returns the plan with another limit of connections. */
    public LoadPlan withConnections(int most) {
        return new LoadPlan(kinds, perSecond, duration, most, timeout, resends, seed);
    }

    /** Returns the plan with another timeout. */
    public LoadPlan withTimeout(Duration longest) {
        return new LoadPlan(kinds, perSecond, duration, connections, longest, resends, seed);
    }
}
