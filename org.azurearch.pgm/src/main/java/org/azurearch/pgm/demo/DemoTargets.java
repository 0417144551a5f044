package org.azurearch.pgm.demo;

import java.time.Duration;

/**
 * Targets that a demonstration must meet.
 *
 * @param inForceTarget the longest time from a publication until it is in force on every node
 * @param drainTarget the longest time from a drain request to the last new request
 */
public record DemoTargets(Duration inForceTarget, Duration drainTarget) {
    /** The targets guaranteed to users. */
    public static final DemoTargets GUARANTEED =
            new DemoTargets(Duration.ofSeconds(4), Duration.ofSeconds(2));
}
