package org.azurearch.route;

import java.time.Duration;

/**
 * When an endpoint that fails is left out of the choice, and for how long.
 *
 * @param failures failures in a row that make an endpoint an outlier
 * @param base the length of the first ejection
 * @param max the longest ejection
 * @param maxEjectedPercent the largest part of a service's endpoints that may be ejected at once
 */
public record OutlierPolicy(int failures, Duration base, Duration max, int maxEjectedPercent) {
    /** A policy that suits services of a few backend servers. */
    public static final OutlierPolicy DEFAULT =
            new OutlierPolicy(5, Duration.ofSeconds(2), Duration.ofSeconds(30), 50);

    /** Returns the length of an ejection, in nanoseconds, which grows with their number. */
    long ejectionNanos(int ejections) {
        return Math.min(base.toNanos() * ejections, max.toNanos());
    }
}
