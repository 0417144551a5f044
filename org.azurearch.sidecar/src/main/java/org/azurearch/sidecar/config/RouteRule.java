package org.azurearch.sidecar.config;

import java.util.List;

/**
 * A route: which requests it matches, which services they go to and what callers expect.
 *
 * @param name the name, unique in a configuration
 * @param host the value of the Host header, in lower case and without port
 * @param prefix the path prefix; begins and ends with a slash
 * @param idempotent whether a request may run more than once
 * @param timeoutMillis the longest time that a caller may have to wait, as set by the operator
 * @param targetMillis the target; an answer has its full value only within this time
 * @param maxAttempts the largest number of backend servers that one request is sent to
 * @param rank the rank; 0 is the most urgent
 * @param split the services that share the requests; a single one if they are not split
 * @param publicAccess whether requests need no key of a client account
 */
public record RouteRule(
        String name,
        String host,
        String prefix,
        boolean idempotent,
        long timeoutMillis,
        long targetMillis,
        int maxAttempts,
        int rank,
        List<WeightedService> split,
        boolean publicAccess) {
    /**
     * A service that gets a share of a route's requests.
     *
     * @param service the name of the service
     * @param weight the weight relative to the other services of the split; not negative
     */
    public record WeightedService(String service, int weight) {
        /** Checks that the weight is not negative. */
        public WeightedService {
            if (weight < 0) {
                throw new IllegalArgumentException("negative weight for " + service);
            }
        }
    }

    /** Creates a route that is not public. */
    public RouteRule(
            String name,
            String host,
            String prefix,
            boolean idempotent,
            long timeoutMillis,
            long targetMillis,
            int maxAttempts,
            int rank,
            List<WeightedService> split) {
        this(
                name,
                host,
                prefix,
                idempotent,
                timeoutMillis,
                targetMillis,
                maxAttempts,
                rank,
                split,
                false);
    }

    /** Returns this route with another rank. */
    public RouteRule withRank(int otherRank) {
        return new RouteRule(
                name,
                host,
                prefix,
                idempotent,
                timeoutMillis,
                targetMillis,
                maxAttempts,
                otherRank,
                split,
                publicAccess);
    }

    /** Checks the times, the number of attempts and the split, which it copies. */
    public RouteRule {
        if (timeoutMillis <= 0 || targetMillis <= 0 || maxAttempts <= 0 || split.isEmpty()) {
            throw new IllegalArgumentException(
                    "route " + name + " needs positive times and attempts, and a service");
        }
        long weights = 0;
        for (WeightedService part : split) {
            weights += part.weight();
        }
        if (weights > Integer.MAX_VALUE) {
            throw new IllegalArgumentException("route " + name + " has weights out of range");
        }
        split = List.copyOf(split);
    }
}
