package org.azurearch.internal.spread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.azurearch.spread.BytesPolicy;
import org.azurearch.spread.ConvergencePolicy;
import org.azurearch.spread.PollPolicy;
import org.azurearch.spread.SpreadPolicy;
import org.junit.jupiter.api.Test;

/** Traffic and convergence time of each policy, on simulated links with 1 to 4 ms latency. */
class SpreadCostTest {
    private static final long SECOND = 1_000;
    private static final int STEADY_SECONDS = 60;
    private static final int CHANGES = 20;
    private static final double MAX_BYTES_PER_SECOND = 2_000;

    /** Measurements of one run. */
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
        long start = sentBytes(mesh);
        mesh.mLog.mReadersOfChanges.clear();
        mesh.run(STEADY_SECONDS * SECOND);
        double count = dataCentres * nodes;
        double steady = (sentBytes(mesh) - start) / count / STEADY_SECONDS;
        long beforeChanges = sentBytes(mesh);
        long logBefore = mesh.mLog.mServedBytes;
        long startMillis = mesh.mTimers.time().millis();
        long slowest = 0;
        for (int i = 1; i <= CHANGES; i++) {
            mesh.publish("c" + i);
            slowest = Math.max(slowest, mesh.converge(i, 10 * SECOND));
            mesh.run(3 * SECOND);
        }
        double seconds = (mesh.mTimers.time().millis() - startMillis) / 1e3;
        double perChange = ((sentBytes(mesh) - beforeChanges) / count - steady * seconds) / CHANGES;
        double logBytes = (double) (mesh.mLog.mServedBytes - logBefore) / CHANGES;
        int readers = mesh.mLog.mReadersOfChanges.size();
        Cost cost = new Cost(steady, perChange, slowest, readers, logBytes);
        System.out.printf("%s, %d x %d nodes: %s%n", policy.name(), dataCentres, nodes, cost);
        return cost;
    }

    private static long sentBytes(FakeMesh mesh) {
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
                () -> "steady traffic grows with the number of nodes: " + small + large);
        assertTrue(large.readers() == 6 && small.readers() == 6, () -> "" + small + large);
    }

    @Test
    void bytesPolicyCostsLessAndStaysWithinTheTarget() {
        Cost convergence = measure(new ConvergencePolicy(), 3, 20);
        Cost bytes = measure(new BytesPolicy(), 3, 20);
        assertTrue(bytes.slowestMillis() <= 4 * SECOND, bytes::toString);
        assertTrue(
                bytes.steadyBytesPerSecond() <= 0.5 * convergence.steadyBytesPerSecond(),
                () -> "" + convergence + bytes);
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
