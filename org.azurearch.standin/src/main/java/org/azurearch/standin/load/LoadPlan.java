package org.azurearch.standin.load;

import java.time.Duration;
import java.util.List;

/**
 * Rate, duration and mix of the load to send.
 *
 * @param kinds the request mix
 * @param requestsPerSecond the requests per second over all targets
 * @param duration how long requests are sent
 * @param maxConnections the maximum number of connections to each address of a target
 * @param timeout the time after which an attempt counts as timed out
 * @param maxRetries the maximum number of retries of a request whose outcome is unknown
 * @param seed the seed of the request mix, also part of the keys
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

    /** Copies the request mix. */
    public LoadPlan {
        kinds = List.copyOf(kinds);
    }

    /** Returns a plan without retries. */
    public static LoadPlan of(
            List<RequestKind> kinds, int perSecond, Duration duration, long seed) {
        return new LoadPlan(kinds, perSecond, duration, CONNECTIONS, TIMEOUT, 0, seed);
    }

    /** Returns a copy with the given maximum number of retries. */
    public LoadPlan withRetries(int limit) {
        return new LoadPlan(
                kinds, requestsPerSecond, duration, maxConnections, timeout, limit, seed);
    }

    /** Returns a copy with the given connection limit. */
    public LoadPlan withConnections(int limit) {
        return new LoadPlan(kinds, requestsPerSecond, duration, limit, timeout, maxRetries, seed);
    }

    /** Returns a copy with the given timeout. */
    public LoadPlan withTimeout(Duration newTimeout) {
        return new LoadPlan(
                kinds, requestsPerSecond, duration, maxConnections, newTimeout, maxRetries, seed);
    }
}
