package org.azurearch.route;

import java.time.Duration;

/**
 * When a failing endpoint is ejected from load balancing, and for how long.
 *
 * @param consecutiveFailures consecutive failures that make an endpoint an outlier
 * @param firstEjection the duration of the first ejection; consecutive ones grow by as much each
 * @param longestEjection the upper bound of that duration
 * @param maxEjectedPercent the percentage of a service's endpoints that may be ejected at once
 */
public record OutlierPolicy(
        int consecutiveFailures,
        Duration firstEjection,
        Duration longestEjection,
        int maxEjectedPercent) {
    /** A policy for services with few backend servers. */
    public static final OutlierPolicy DEFAULT =
            new OutlierPolicy(5, Duration.ofSeconds(2), Duration.ofSeconds(30), 50);

    /** Returns the duration, in nanoseconds, of the given consecutive ejection, counted from 1. */
    long ejectionNanos(int ejections) {
        return Math.min(firstEjection.toNanos() * ejections, longestEjection.toNanos());
    }
}
