package org.azurearch.sidecar.config;

import java.util.List;

/**
 * A route: which requests it takes, where they go and what callers expect.
 *
 * @param name the name, unique in a configuration
 * @param host the value of the Host header, in lower case and without port
 * @param prefix the path prefix; begins and ends with a slash
 * @param idempotent whether a request may run more than once
 * @param timeoutMillis the longest that the operator wants a caller kept waiting
 * @param targetMillis the time within which an answer has its full worth
 * @param maxAttempts the most backend servers that one request is sent to
 * @param rank the rank; 0 is the most urgent
 * @param split the services that share the requests; one without a split
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
        List<WeightedService> split) {
    /**
     * A service's part of a route's requests.
     *
     * @param service the name of the service
     * @param weight the weight among the parts; not negative
     */
    public record WeightedService(String service, int weight) {
        /** Checks the weight. */
        public WeightedService {
            if (weight < 0) {
                throw new IllegalArgumentException("negative weight for " + service);
            }
        }
    }

    /** Checks the figures and copies the parts. */
    public RouteRule {
        if (timeoutMillis <= 0 || targetMillis <= 0 || maxAttempts <= 0 || split.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " holds figures out of range");
        }
        split = List.copyOf(split);
    }
}
