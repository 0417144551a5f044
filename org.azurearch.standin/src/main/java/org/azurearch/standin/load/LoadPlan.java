package org.azurearch.standin.load;

import java.time.Duration;
import java.util.List;

/**
 * What load is sent.
 *
 * @param kinds the mix
 * @param requestsPerSecond requests a second over all targets
 * @param duration how long requests are sent
 * @param maxConnections the most connections to each target
 * @param timeout after which a request counts as lost
 * @param maxRetries how often a caller sends a request again whose outcome it does not know
 * @param seed the seed of the mix
 */
public record LoadPlan(
        List<RequestKind> kinds,
        int requestsPerSecond,
        Duration duration,
        int maxConnections,
        Duration timeout,
        int maxRetries,
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
    public LoadPlan withRetries(int most) {
        return new LoadPlan(
                kinds, requestsPerSecond, duration, maxConnections, timeout, most, seed);
    }

    /** Returns the plan with another limit of connections. */
    public LoadPlan withConnections(int most) {
        return new LoadPlan(kinds, requestsPerSecond, duration, most, timeout, maxRetries, seed);
    }

    /** Returns the plan with another timeout. */
    public LoadPlan withTimeout(Duration longest) {
        return new LoadPlan(
                kinds, requestsPerSecond, duration, maxConnections, longest, maxRetries, seed);
    }
}
