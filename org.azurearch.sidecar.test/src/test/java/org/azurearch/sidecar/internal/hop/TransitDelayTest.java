package org.azurearch.sidecar.internal.hop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against requests that are started after their time, as their frames were held up. */
class TransitDelayTest {
    private static final long USUAL_MILLIS = 2;

    private final TransitDelay mDelay = new TransitDelay(0);
    private long mSenderMillis = 7_000_000;
    private long mSenderAtMillis = 1_700_000_000_123L;
    private long mMillis;
    private long mAtMillis = 1_700_000_004_000L;

    @Test
    void heldUpFrameShowsItsDelay() {
        assertEquals(0, arrive(USUAL_MILLIS));
        pass(500);
        assertEquals(1_800, arrive(USUAL_MILLIS + 1_800));
        pass(500);
        assertEquals(0, arrive(USUAL_MILLIS));
    }

    @Test
    void suspendedSenderIsNotTakenForDelay() {
        arrive(USUAL_MILLIS);
        mMillis += 3_000;
        mAtMillis += 3_000;
        mSenderAtMillis += 3_000;
        assertEquals(0, arrive(USUAL_MILLIS));
    }

    @Test
    void stepsOfTheTimeOfDayAreNotTakenForDelay() {
        arrive(USUAL_MILLIS);
        mAtMillis += 5_000;
        assertEquals(0, arrive(USUAL_MILLIS));
        mSenderAtMillis += 9_000;
        assertEquals(0, arrive(USUAL_MILLIS));
        mSenderAtMillis -= 9_000;
        assertEquals(0, arrive(USUAL_MILLIS));
    }

    @Test
    void delayThatLastsBecomesUsualAfterTwoWindows() {
        arrive(USUAL_MILLIS);
        for (int second = 0; second < 61; second++) {
            pass(1_000);
            arrive(USUAL_MILLIS + 400);
        }
        assertEquals(0, arrive(USUAL_MILLIS + 400));
    }

    @Property
    void estimateIsNeverBelowZeroNorAboveTheDelay(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < 200; i++) {
            pass(random.nextInt(2_000));
            long transit = USUAL_MILLIS + random.nextInt(3_000);
            long estimate = arrive(transit);
            assertTrue(estimate >= 0 && estimate <= transit, estimate + " of " + transit);
        }
    }

    private void pass(long millis) {
        mSenderMillis += millis;
        mSenderAtMillis += millis;
        mMillis += millis;
        mAtMillis += millis;
    }

    /** Returns the estimate for a frame that is sent now and arrives after a time. */
    private long arrive(long transitMillis) {
        return mDelay.observe(
                mSenderMillis, mSenderAtMillis, mMillis + transitMillis, mAtMillis + transitMillis);
    }
}
