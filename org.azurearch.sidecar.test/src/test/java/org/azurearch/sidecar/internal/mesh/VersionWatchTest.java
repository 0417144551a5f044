package org.azurearch.sidecar.internal.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against valid keys refused as unknown by a node with an outdated configuration. */
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

    @Test
    void announcedVersionIsAwaitedUntilItIsInForce() {
        mWatch.installed(5, true, 0);
        assertEquals(0, mWatch.awaitedNanos(9_000));
        mWatch.announced(6, 10_000);
        assertEquals(700, mWatch.awaitedNanos(10_700));
        mWatch.installed(6, false, 10_900);
        assertEquals(0, mWatch.awaitedNanos(11_000));
    }

    @Test
    void olderPeerVersionCastsNoDoubt() {
        mWatch.installed(5, true, 0);
        mWatch.announced(4, 10_000);
        assertFalse(mWatch.mayBeOutdated(10_000, APPLY));
    }
}
