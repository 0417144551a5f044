package org.azurearch.sidecar.internal.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against a configuration that counts as the newest while an answer is on its way. */
class StoreWatchTest {
    private static final long MS = 1_000_000L;
    private static final long APPLY = 2_000 * MS;
    private static final long CHECK = 400 * MS;

    private final StoreWatch mWatch = new StoreWatch(APPLY, 0);
    private long mNow;
    private long mHeard;

    @Test
    void answeredReadCountsFromItsSending() {
        assertEquals(OptionalLong.of(10), mWatch.readTo(5, 10, true));
        assertEquals(OptionalLong.empty(), mWatch.readTo(6, 20, false));
    }

    @Test
    void checkShowsNothingWhileRecordsAreMissing() {
        mWatch.readTo(5, 0, true);
        mWatch.checkSent(100);
        assertTrue(mWatch.checkAnswered(100, 5, 110));
        mWatch.checkSent(200);
        assertFalse(mWatch.checkAnswered(200, 6, 210));
        assertEquals(1, mWatch.missing());
        assertEquals(OptionalLong.of(200), mWatch.readTo(6, 150, false));
        assertEquals(0, mWatch.missing());
    }

    @Test
    void laterEndsAreKnownOnceTheyAreRead() {
        mWatch.readTo(5, 0, true);
        mWatch.checkAnswered(100, 6, 110);
        mWatch.checkAnswered(200, 6, 210);
        mWatch.checkAnswered(300, 8, 310);
        assertEquals(OptionalLong.of(200), mWatch.readTo(7, 50, true));
        assertEquals(OptionalLong.of(300), mWatch.readTo(8, 50, true));
    }

    @Test
    void endIsCheckedOnceTheConfirmationIsOld() {
        assertFalse(mWatch.checkDue(APPLY, false, APPLY));
        mWatch.readTo(5, 0, true);
        assertFalse(mWatch.checkDue(CHECK - 1, false, APPLY));
        assertTrue(mWatch.checkDue(CHECK, false, APPLY));
        assertFalse(mWatch.checkDue(CHECK, true, APPLY));
        assertTrue(mWatch.checkDue(2 * CHECK, true, APPLY));
        mWatch.checkSent(APPLY);
        assertFalse(mWatch.checkDue(APPLY, false, APPLY + CHECK - 1));
        assertTrue(mWatch.checkDue(APPLY, false, APPLY + CHECK));
    }

    /** Guards against leases that end as each check waits for the answer to the one before. */
    @Test
    void lateAnswersAreNotWaitedFor() {
        mWatch.readTo(5, 0, true);
        mWatch.checkSent(0);
        mWatch.checkSent(CHECK);
        assertTrue(mWatch.late(CHECK + 1));
        assertTrue(mWatch.checkDue(APPLY, false, CHECK + CHECK / 2));
        mWatch.checkAnswered(0, 5, 1_500 * MS);
        mWatch.checkAnswered(CHECK, 5, 1_900 * MS);
        assertTrue(mWatch.late(1_900 * MS));
        mWatch.checkSent(1_900 * MS);
        mWatch.checkAnswered(1_900 * MS, 5, 1_910 * MS);
        assertFalse(mWatch.late(1_910 * MS));
    }

    /** Guards against new connections for each check as long as one answer is missing. */
    @Test
    void lostAnswerIsNotAwaitedAfterLaterOne() {
        mWatch.readTo(5, 0, true);
        mWatch.checkSent(0);
        mWatch.checkSent(CHECK);
        assertTrue(mWatch.late(CHECK + 1));
        assertTrue(mWatch.checkAnswered(CHECK, 5, CHECK + 10));
        assertFalse(mWatch.late(APPLY));
    }

    @Test
    void storeThatSendsNothingIsSilent() {
        mWatch.readTo(5, 0, true);
        mWatch.checkSent(mNow);
        run(2_000);
        assertFalse(mWatch.silent(), "one check");
        mWatch.checkSent(mNow);
        run(100);
        assertTrue(mWatch.silent());
        mHeard = mNow;
        run(100);
        assertFalse(mWatch.silent());
    }

    /** Guards against a store that is taken for silent as its answer takes long to arrive. */
    @Test
    void storeWhoseAnswerIsArrivingIsNotSilent() {
        mWatch.readTo(5, 0, true);
        for (int i = 0; i < 10; i++) {
            mWatch.checkSent(mNow);
            mHeard = mNow;
            run(1_000);
            assertFalse(mWatch.silent());
        }
    }

    /** Guards against a node that takes its own pause for silence of the store. */
    @Test
    void pauseOfTheNodeIsNoSilence() {
        mWatch.readTo(5, 0, true);
        mWatch.checkSent(mNow);
        mWatch.checkSent(mNow);
        mNow += 10 * APPLY;
        mWatch.tick(mHeard, mNow);
        assertFalse(mWatch.silent());
    }

    private void run(long millis) {
        for (long end = mNow + millis * MS; mNow < end; ) {
            mNow += 100 * MS;
            mWatch.tick(mHeard, mNow);
        }
    }
}
