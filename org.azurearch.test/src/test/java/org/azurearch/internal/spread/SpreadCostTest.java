package org.azurearch.internal.spread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.azurearch.spread.BytesPolicy;
import org.azurearch.spread.ConvergencePolicy;
import org.azurearch.spread.PollPolicy;
import org.azurearch.spread.SpreadPolicy;
import org.junit.jupiter.api.Test;

/** What the policies cost, on simulated links of one to four milliseconds. */
class SpreadCostTest {
    private static final long SECOND = 1_000;
    private static final int STEADY_SECONDS = 60;
    private static final int CHANGES = 20;
    private static final double MAX_BYTES_PER_SECOND = 2_000;

    /** Figures of one run. */
    private record Cost(
            double steadyBytesPerSecond,
            double bytesPerChange,
            long slowestMillis,
            int readers,
            double logBytesPerChange) {}

    private static Cost measure(SpreadPolicy policy, int dataCentres, int nodes) {
        FakeMesh mesh = new FakeMesh(policy, 17);
        for (int i = 0; i < dataCentres; i++) {
            mesh.startNodes("dc" + i, nodes);
        }
        mesh.publish("c0");
        mesh.converge(0, 30 * SECOND);
        mesh.run(20 * SECOND);
        long start = sent(mesh);
        mesh.mLog.mReadersOfChanges.clear();
        mesh.run(STEADY_SECONDS * SECOND);
        double count = dataCentres * nodes;
        double steady = (sent(mesh) - start) / count / STEADY_SECONDS;
        long beforeChanges = sent(mesh);
        long logBefore = mesh.mLog.mServedBytes;
        long startMillis = mesh.mTimers.time().millis();
        long slowest = 0;
        for (int i = 1; i <= CHANGES; i++) {
            mesh.publish("c" + i);
            slowest = Math.max(slowest, mesh.converge(i, 10 * SECOND));
            mesh.run(3 * SECOND);
        }
        double seconds = (mesh.mTimers.time().millis() - startMillis) / 1e3;
        double perChange = ((sent(mesh) - beforeChanges) / count - steady * seconds) / CHANGES;
        double logBytes = (double) (mesh.mLog.mServedBytes - logBefore) / CHANGES;
        int readers = mesh.mLog.mReadersOfChanges.size();
        Cost cost = new Cost(steady, perChange, slowest, readers, logBytes);
        System.out.printf("%s, %d x %d nodes: %s%n", policy.name(), dataCentres, nodes, cost);
        return cost;
    }

    private static long sent(FakeMesh mesh) {
        return mesh.mNodes.values().stream().mapToLong(node -> node.mSentBytes).sum();
    }

    @Test
    void convergencePolicyIsFastAndWithinTheBudget() {
        Cost small = measure(new ConvergencePolicy(), 3, 10);
        Cost large = measure(new ConvergencePolicy(), 3, 40);
        assertTrue(large.slowestMillis() <= 100, large::toString);
        assertTrue(large.steadyBytesPerSecond() <= MAX_BYTES_PER_SECOND, large::toString);
        assertTrue(
                large.steadyBytesPerSecond() <= 1.2 * small.steadyBytesPerSecond(),
                () -> "steady bytes grow with nodes: " + small + large);
        assertTrue(large.readers() == 6 && small.readers() == 6, () -> "" + small + large);
    }

    @Test
    void bytesPolicyCostsLessAndStaysWithinTheTarget() {
        Cost eager = measure(new ConvergencePolicy(), 3, 20);
        Cost frugal = measure(new BytesPolicy(), 3, 20);
        assertTrue(frugal.slowestMillis() <= 4 * SECOND, frugal::toString);
        assertTrue(
                frugal.steadyBytesPerSecond() <= 0.5 * eager.steadyBytesPerSecond(),
                () -> "" + eager + frugal);
    }

    @Test
    void logServesReadersAndNotNodes() {
        Cost tree = measure(new ConvergencePolicy(), 3, 20);
        Cost baseline = measure(new PollPolicy(), 3, 20);
        assertEquals(60, baseline.readers());
        assertTrue(
                tree.logBytesPerChange() <= baseline.logBytesPerChange() / 9,
                () -> "" + tree + baseline);
    }
}
