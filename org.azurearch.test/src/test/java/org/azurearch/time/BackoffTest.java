package org.azurearch.time;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class BackoffTest {
    @Property(seed = "1")
    void delayNeverExceedsItsCeiling(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 80) int failures) {
        Backoff backoff =
                new Backoff(
                        Duration.ofMillis(10), Duration.ofSeconds(2), new SplittableRandom(seed));
        Duration last = Duration.ZERO;
        for (int i = 0; i < failures; i++) {
            last = backoff.nextDelay();
            long ceiling = Math.min(2_000L, 10L << Math.min(i, 30));
            assertTrue(last.toMillis() <= ceiling, last + " after " + i);
        }
        backoff.reset();
        assertTrue(backoff.nextDelay().toMillis() <= 10);
    }
}
