package org.azurearch.pgm.demo;

import java.time.Duration;

/**
 * How quickly a demonstration must see what is promised.
 *
 * @param inForceTarget the longest from a publication to its being in force everywhere
 * @param drainTarget the longest from a drain to the last new request
 */
public record DemoTargets(Duration inForceTarget, Duration drainTarget) {
    /** What users are promised. */
    public static final DemoTargets GUARANTEED =
            new DemoTargets(Duration.ofSeconds(4), Duration.ofSeconds(2));
}
