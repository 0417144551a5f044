package org.azurearch.sidecar.admit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The mean age of running requests, which shows that a backend server has become slow. */
class RunningAgesTest {
    private static final long MILLI = 1_000_000L;

    @Test
    void meanCoversRunningRequestsOnly() {
        RunningAges ages = new RunningAges();
        assertEquals(0, ages.meanMillis(5 * MILLI));
        ages.started(10 * MILLI);
        ages.started(30 * MILLI);
        assertEquals(80, ages.meanMillis(100 * MILLI), 0.001);
        ages.ended(10 * MILLI);
        assertEquals(70, ages.meanMillis(100 * MILLI), 0.001);
        ages.ended(30 * MILLI);
        assertEquals(0, ages.meanMillis(100 * MILLI));
    }
}
