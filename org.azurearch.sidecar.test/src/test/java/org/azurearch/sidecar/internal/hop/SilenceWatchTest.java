package org.azurearch.sidecar.internal.hop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against a peer that is gone and not noticed, and against one that is given up wrongly. */
class SilenceWatchTest {
    private static final long MILLI = 1_000_000L;
    private static final long TICK = 100 * MILLI;
    private static final SilenceWatch.Limits LIMITS =
            new SilenceWatch.Limits(500 * MILLI, 6_000 * MILLI, 200 * MILLI, 700 * MILLI);

    private final SilenceWatch mWatch = new SilenceWatch(LIMITS, 0);

    @Test
    void silentPeerThatIsAwaitedIsGivenUpWithinItsLimits() {
        assertEquals(List.of(500L, 1_300L), millisOfSteps(true));
    }

    @Test
    void silentPeerThatNothingDependsOnIsGivenUpLater() {
        assertEquals(List.of(6_000L, 6_800L), millisOfSteps(false));
    }

    @Test
    void peerIsSuspectedWhileItsReplyIsLate() {
        for (long now = TICK; now <= 700 * MILLI; now += TICK) {
            mWatch.tick(now, 0, true);
            assertFalse(mWatch.suspected());
        }
        mWatch.tick(800 * MILLI, 0, true);
        assertTrue(mWatch.suspected());
        mWatch.tick(900 * MILLI, 850 * MILLI, true);
        assertFalse(mWatch.suspected());
    }

    @Test
    void pauseOfThisProcessIsNotTakenForSilenceOfThePeer() {
        assertEquals(SilenceWatch.Step.PING, mWatch.tick(500 * MILLI, 0, true));
        assertEquals(SilenceWatch.Step.NONE, mWatch.tick(5_000 * MILLI, 0, true));
        assertEquals(SilenceWatch.Step.NONE, mWatch.tick(5_100 * MILLI, 5_050 * MILLI, true));
    }

    @Property
    void peerThatRepliesInTimeIsNeverGivenUp(
            @ForAll long seed, @ForAll @IntRange(max = 600) int rtt) {
        Random random = new Random(seed);
        SilenceWatch watch = new SilenceWatch(LIMITS, 0);
        long now = 0;
        long lastRead = 0;
        long replyAt = Long.MAX_VALUE;
        for (int i = 0; i < 500; i++) {
            now += TICK + random.nextInt(20) * MILLI;
            if (replyAt <= now) {
                lastRead = replyAt;
                replyAt = Long.MAX_VALUE;
            }
            SilenceWatch.Step step = watch.tick(now, lastRead, random.nextBoolean());
            assertTrue(step != SilenceWatch.Step.GIVE_UP, "at " + now / MILLI + " ms");
            if (step == SilenceWatch.Step.PING) {
                replyAt = now + rtt * MILLI;
            }
        }
    }

    private List<Long> millisOfSteps(boolean awaited) {
        List<Long> millis = new ArrayList<>();
        for (long now = TICK; now <= 10_000 * MILLI; now += TICK) {
            SilenceWatch.Step step = mWatch.tick(now, 0, awaited);
            if (step != SilenceWatch.Step.NONE) {
                millis.add(now / MILLI);
            }
            if (step == SilenceWatch.Step.GIVE_UP) {
                return millis;
            }
        }
        return millis;
    }
}
