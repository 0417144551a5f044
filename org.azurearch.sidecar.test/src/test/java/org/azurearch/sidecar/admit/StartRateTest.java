package org.azurearch.sidecar.admit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the limit of starts a second against a manual clock. */
class StartRateTest {
    private static final long MILLI = 1_000_000L;

    private final StartRate mRate = new StartRate();

    @Test
    void allowsEveryStartWithoutLimit() {
        assertEquals(1_000, starts(mRate, 1_000));
        assertEquals(0, mRate.millisUntil(50, 0));
    }

    @Test
    void startsNeverExceedTheNamedRateByMoreThanTheBurst() {
        for (double perSecond : new double[] {0.7, 5.4, 8.8, 250}) {
            StartRate rate = new StartRate();
            rate.limit(perSecond, 0);
            int started = starts(rate, 4_000);
            assertTrue(started <= 4 * perSecond + perSecond / 4 + 1, perSecond + ": " + started);
            assertTrue(started >= 4 * perSecond - 1, perSecond + ": " + started);
        }
    }

    @Test
    void limitOfZeroStillLetsTheEndOfTheLimitShow() {
        mRate.limit(0, 0);
        int started = starts(mRate, 8_000);
        assertTrue(started >= 2 && started <= 5, "started " + started);
    }

    @Test
    void tellsWhenFurtherStartsAreAllowed() {
        mRate.limit(10, 0);
        assertTrue(mRate.tryStart(0));
        assertEquals(100, mRate.millisUntil(1, 0), 1e-6);
        assertEquals(300, mRate.millisUntil(3, 0), 1e-6);
        assertFalse(mRate.tryStart(99 * MILLI));
        assertTrue(mRate.tryStart(100 * MILLI));
    }

    @Test
    void endOfLimitAllowsEveryStartAgain() {
        mRate.limit(1, 0);
        mRate.limit(-1, 0);
        assertEquals(100, starts(mRate, 100));
    }

    /** Tries to start a request each millisecond; returns how many were allowed. */
    private static int starts(StartRate rate, int untilMillis) {
        int started = 0;
        for (int i = 0; i < untilMillis; i++) {
            started += rate.tryStart(i * MILLI) ? 1 : 0;
        }
        return started;
    }
}
