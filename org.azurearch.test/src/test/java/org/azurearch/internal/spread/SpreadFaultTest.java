package org.azurearch.internal.spread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.azurearch.spread.ConvergencePolicy;
import org.junit.jupiter.api.Test;

class SpreadFaultTest {
    private static final long SEED = 20261203L;

    private final FakeMesh mMesh = new FakeMesh(new ConvergencePolicy(), SEED);

    @Test
    void changeReachesEveryNodeAndOnlyReadersReadTheLog() {
        mMesh.startNodes("a", 20);
        mMesh.startNodes("b", 20);
        mMesh.publish("c1");
        mMesh.converge(0, 10_000);
        mMesh.run(10_000);
        mMesh.mLog.mReadersOfChanges.clear();
        mMesh.publish("c2");
        long took = mMesh.converge(1, 4_000);
        mMesh.run(60_000);
        assertTrue(took <= 100, took + " ms");
        assertEquals(
                4, mMesh.mLog.mReadersOfChanges.size(), mMesh.mLog.mReadersOfChanges::toString);
    }
}
