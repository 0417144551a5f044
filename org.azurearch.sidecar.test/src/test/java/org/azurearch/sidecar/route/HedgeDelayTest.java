package org.azurearch.sidecar.route;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * With usual answer times, few calls are sent twice, yet a lost answer is noticed within the
 * target.
 */
class HedgeDelayTest {
    @Test
    void fewAnswersTakeLongerThanDelay() {
        HedgeDelay delay = new HedgeDelay();
        SplittableRandom random = new SplittableRandom(7);
        int longer = 0;
        for (int i = 0; i < 5_000; i++) {
            double millis = 90 * Math.exp(0.3 * random.nextGaussian());
            longer += millis > delay.delayMillis(300) ? 1 : 0;
            delay.observe(millis);
        }
        assertTrue(longer < 150, "would be sent twice: " + longer);
        assertTrue(delay.delayMillis(300) < 300, "after " + delay.delayMillis(300));
    }
}
