package org.azurearch.sidecar.internal.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against valid keys and routes refused as unknown under an outdated configuration. */
class VersionWatchTest {
    private static final long APPLY = 2_500;

    private final VersionWatch mWatch = new VersionWatch();

    @Test
    void versionOfTheStoreIsCurrent() {
        mWatch.installed(5, true, 1_000);
        assertFalse(mWatch.mayBeOutdated(1_000, APPLY));
    }

    @Test
    void peerVersionIsInDoubtAfterTheStart() {
        mWatch.installed(5, false, 1_000);
        assertTrue(mWatch.mayBeOutdated(3_000, APPLY));
        assertFalse(mWatch.mayBeOutdated(3_500, APPLY));
    }

    @Test
    void announcedVersionIsAwaitedForLimitedTime() {
        mWatch.installed(5, true, 0);
        mWatch.announced(6, 10_000);
        assertTrue(mWatch.mayBeOutdated(10_000, APPLY));
        mWatch.announced(6, 12_000);
        assertFalse(mWatch.mayBeOutdated(12_500, APPLY));
    }

    @Test
    void announcedVersionInForceEndsTheDoubt() {
        mWatch.installed(5, true, 0);
        mWatch.announced(6, 10_000);
        mWatch.installed(6, false, 10_100);
        assertFalse(mWatch.mayBeOutdated(10_100, APPLY));
    }

    @Test
    void versionHeldForSomeTimeHasBeenPushed() {
        assertFalse(mWatch.heldFor(750, 1_000));
        mWatch.installed(5, true, 1_000);
        assertFalse(mWatch.heldFor(750, 1_700));
        assertTrue(mWatch.heldFor(750, 1_750));
        mWatch.installed(6, false, 2_000);
        assertFalse(mWatch.heldFor(750, 2_700));
    }

    /** Guards against a node that is late and counts as one that cannot decode a version. */
    @Test
    void announcedVersionIsExpectedUntilItIsInForceOrUndecodable() {
        mWatch.installed(5, true, 0);
        mWatch.announced(6, 10_000);
        mWatch.announced(7, 12_000);
        assertTrue(mWatch.awaitsVersion());
        mWatch.undecodable(6);
        assertTrue(mWatch.awaitsVersion());
        mWatch.undecodable(7);
        assertFalse(mWatch.awaitsVersion());
        mWatch.announced(8, 13_000);
        assertTrue(mWatch.awaitsVersion());
        mWatch.installed(8, false, 90_000);
        assertFalse(mWatch.awaitsVersion());
    }

    @Test
    void announcedVersionThatTheStoreLacksIsNotExpected() {
        mWatch.installed(5, true, 0);
        mWatch.announced(6, 10_000);
        mWatch.newestOfStore(10_000);
        assertTrue(mWatch.awaitsVersion());
        mWatch.newestOfStore(10_001);
        assertFalse(mWatch.awaitsVersion());
    }

    @Test
    void announcedVersionIsAwaitedUntilItIsInForce() {
        mWatch.installed(5, true, 0);
        assertEquals(0, mWatch.awaitedNanos(9_000));
        mWatch.announced(6, 10_000);
        assertEquals(700, mWatch.awaitedNanos(10_700));
        mWatch.installed(6, false, 10_900);
        assertEquals(0, mWatch.awaitedNanos(11_000));
    }

    /** Guards against a pull that is put off by each further change. */
    @Test
    void waitBeginsWithFirstVersionThatIsLacking() {
        mWatch.installed(5, true, 0);
        mWatch.announced(6, 10_000);
        mWatch.announced(7, 10_500);
        assertEquals(700, mWatch.awaitedNanos(10_700));
        mWatch.installed(6, false, 10_800);
        assertEquals(400, mWatch.awaitedNanos(10_900));
    }

    /**
     * Guards against a node that stood still or was cut off, and takes its version for the last.
     */
    @Test
    void silenceOfAllPeersCastsDoubt() {
        mWatch.installed(5, true, 0);
        assertFalse(mWatch.mayBeOutdated(9_000, APPLY));
        mWatch.heard(10_000);
        assertFalse(mWatch.mayBeOutdated(11_000, APPLY));
        assertTrue(mWatch.mayBeOutdated(11_250, APPLY));
        mWatch.heard(11_300);
        assertFalse(mWatch.mayBeOutdated(11_300, APPLY));
        assertFalse(mWatch.mayBeOutdated(21_300, APPLY));
    }

    /** Guards against a further full wait after a pull that was lost with its link. */
    @Test
    void lostPullIsRepeatedWithoutFullWait() {
        mWatch.installed(5, true, 0);
        mWatch.announced(6, 10_000);
        assertEquals(750, mWatch.pullDelayNanos(750, 100, 10_000));
        assertEquals(150, mWatch.pullDelayNanos(750, 100, 10_600));
        assertEquals(100, mWatch.pullDelayNanos(750, 100, 10_900));
    }

    @Test
    void olderPeerVersionCastsNoDoubt() {
        mWatch.installed(5, true, 0);
        mWatch.announced(4, 10_000);
        assertFalse(mWatch.mayBeOutdated(10_000, APPLY));
    }
}
