package org.azurearch.pgm.demo;

import java.time.Duration;

/**
 * How quickly a demonstration must see what is promised.
 *
 * @param inForce the longest from a publication to its being in force everywhere
 * @param drained the longest from a drain to the last new request
 */
public record DemoTargets(Duration inForce, Duration drained) {
    /** What users are promised. */
    public static final DemoTargets PROMISED =
            new DemoTargets(Duration.ofSeconds(4), Duration.ofSeconds(2));
}
