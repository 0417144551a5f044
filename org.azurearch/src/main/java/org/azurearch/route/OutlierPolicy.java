package org.azurearch.route;

import java.time.Duration;

/**
 * When an endpoint that fails is left out of the choice, and for how long.
 *
 * @param consecutiveFailures failures in a row that make an endpoint an outlier
 * @param firstEjection the length of the first ejection
 * @param longestEjection the longest ejection
 * @param maxEjectedPercent the largest part of a service's endpoints that may be ejected at once
 */
public record OutlierPolicy(
        int consecutiveFailures,
        Duration firstEjection,
        Duration longestEjection,
        int maxEjectedPercent) {
    /** A policy that suits services of a few backend servers. */
    public static final OutlierPolicy DEFAULT =
            new OutlierPolicy(5, Duration.ofSeconds(2), Duration.ofSeconds(30), 50);

    /** Returns the length of an ejection, in nanoseconds, which grows with their number. */
    long ejectionNanos(int ejections) {
        return Math.min(firstEjection.toNanos() * ejections, longestEjection.toNanos());
    }
}
