package org.azurearch.sidecar.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class PauseDetectorTest {
    private static final long MILLI = 1_000_000L;

    private final PauseDetector mDetector = new PauseDetector(0, 5_000);

    @Test
    void regularTicksAreNoPause() {
        mDetector.tick(100 * MILLI, 5_100);
        assertEquals(0, mDetector.delayNanos(300 * MILLI, 5_300));
    }

    @Test
    void whatIsReadAfterPauseMayHaveWaited() {
        assertEquals(3_000 * MILLI, mDetector.delayNanos(3_000 * MILLI, 8_000));
        mDetector.tick(3_010 * MILLI, 8_010);
        assertEquals(3_010 * MILLI, mDetector.delayNanos(3_020 * MILLI, 8_020));
        assertEquals(0, mDetector.delayNanos(3_100 * MILLI, 8_100));
    }

    @Test
    void timeOfDayShowsSuspensionThatTheSteadyClockDoesNotCount() {
        assertEquals(7_000 * MILLI, mDetector.delayNanos(50 * MILLI, 12_000));
    }

    @Test
    void timeOfDayThatJumpsBackIsNoPause() {
        assertEquals(0, mDetector.delayNanos(50 * MILLI, 1_000));
    }
}
