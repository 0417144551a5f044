package org.azurearch.standin.bench.experiments;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.azurearch.standin.bench.ExperimentResults;
import org.azurearch.standin.bench.mesh.BenchMesh;
import org.azurearch.standin.bench.mesh.MeshNode;
import org.azurearch.standin.log.LogStatistics;

/**
 * Traffic and processor time of a mesh over an interval.
 *
 * @param nodes number of nodes
 * @param seconds length of the interval
 * @param peerBytes bytes that nodes sent to each other
 * @param logBytes bytes of record data that nodes read from the log
 * @param logReads reads that the log answered
 * @param logAppends records appended to the log
 * @param processorSeconds processor time of the whole process, the log included
 */
record MeshCost(
        int nodes,
        double seconds,
        double peerBytes,
        double logBytes,
        double logReads,
        double logAppends,
        double processorSeconds) {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double PERCENT = 100.0;

    /** Counters of a mesh at one moment. */
    record Sample(
            int nodes,
            long nanos,
            long peerBytes,
            long logBytes,
            long logReads,
            long logAppends,
            long processorNanos) {}

    static Sample sample(BenchMesh mesh) {
        long sent = 0;
        for (MeshNode node : mesh.nodes()) {
            sent += node.counterSum("control.sent.bytes.");
        }
        LogStatistics log = mesh.log().statistics();
        return new Sample(
                mesh.nodes().size(),
                System.nanoTime(),
                sent,
                log.readBytes(),
                log.reads(),
                log.appends(),
                processorNanos());
    }

    static MeshCost between(Sample before, Sample after) {
        return new MeshCost(
                after.nodes(),
                (after.nanos() - before.nanos()) / NANOS_PER_SECOND,
                after.peerBytes() - before.peerBytes(),
                after.logBytes() - before.logBytes(),
                after.logReads() - before.logReads(),
                after.logAppends() - before.logAppends(),
                (after.processorNanos() - before.processorNanos()) / NANOS_PER_SECOND);
    }

    /** Waits a fixed time for the gossip about the started nodes to end. */
    static void settle(Duration time) {
        LockSupport.parkNanos(time.toNanos());
    }

    /** Measures a mesh for a time in which nothing is published. */
    static MeshCost measure(BenchMesh mesh, Duration time) {
        Sample before = sample(mesh);
        LockSupport.parkNanos(time.toNanos());
        return between(before, sample(mesh));
    }

    double controlBytes() {
        return peerBytes + logBytes;
    }

    double controlBytesPerNodeSecond() {
        return controlBytes() / nodes / seconds;
    }

    double logReadsPerSecond() {
        return logReads / seconds;
    }

    void addTo(ExperimentResults results, String prefix) {
        results.addFigure(prefix + "peer-bytes", peerBytes / nodes / seconds, "B/s per node");
        results.addFigure(prefix + "log-read-bytes", logBytes / nodes / seconds, "B/s per node");
        results.addFigure(prefix + "log-reads", logReads / seconds, "reads/s");
        results.addFigure(prefix + "log-appends", logAppends / seconds, "appends/s");
        results.addFigure(
                prefix + "processor",
                processorSeconds / seconds / nodes * PERCENT,
                "% of a core per node, log included");
    }

    /** Returns the processor time used by this process; 0 if the JVM does not report it. */
    static long processorNanos() {
        if (ManagementFactory.getOperatingSystemMXBean()
                instanceof com.sun.management.OperatingSystemMXBean system) {
            return system.getProcessCpuTime();
        }
        return 0;
    }
}
