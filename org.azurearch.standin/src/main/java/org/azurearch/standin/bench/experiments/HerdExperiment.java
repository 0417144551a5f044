package org.azurearch.standin.bench.experiments;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.ProgressMonitor;
import org.azurearch.lib.SiteId;
import org.azurearch.standin.bench.Experiment;
import org.azurearch.standin.bench.ExperimentOptions;
import org.azurearch.standin.bench.ExperimentResults;
import org.azurearch.standin.bench.mesh.BenchMesh;
import org.azurearch.standin.bench.mesh.MeshNode;
import org.azurearch.standin.bench.mesh.MeshPlan;
import org.azurearch.standin.bench.mesh.SampleDocuments;
import org.azurearch.standin.log.LogServerOptions;
import org.azurearch.standin.log.LogStatistics;

/**
 * Restarts all nodes of a data centre, then of the whole mesh, at once. Measures when each node has
 * a configuration in force again and the load on the log.
 */
public final class HerdExperiment implements Experiment {
    private static final int DEFAULT_NODES = 40;
    private static final int DEFAULT_DATA_CENTRES = 2;
    private static final int DEFAULT_SERVICES = 380;
    private static final int DEFAULT_CHANGES = 5;
    private static final int SLOTS = 20;
    private static final long MAX_MICROS = 120_000_000L;
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1e3;
    private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(60);

    @Override
    public String name() {
        return "herd";
    }

    @Override
    public String summary() {
        return "time until nodes that return all at once are ready, and the load on the log";
    }

    @Override
    public void run(ExperimentOptions options, ExperimentResults results, ProgressMonitor monitor) {
        int nodes = options.integer("nodes", DEFAULT_NODES);
        int dataCentres = options.integer("dataCentres", DEFAULT_DATA_CENTRES);
        int services = options.integer("services", DEFAULT_SERVICES);
        String policy = options.string("policy", "convergence");
        monitor.begin("herd", 2);
        MeshPlan plan =
                new MeshPlan(nodes, dataCentres, 1, policy, LogServerOptions.DEFAULT, Map.of());
        try (BenchMesh mesh = new BenchMesh(plan)) {
            publish(mesh, dataCentres, services, options);
            List<Integer> lastDataCentre = new ArrayList<>();
            List<Integer> wholeMesh = new ArrayList<>();
            for (int node = 0; node < nodes; node++) {
                wholeMesh.add(node);
                if (node % dataCentres == dataCentres - 1) {
                    lastDataCentre.add(node);
                }
            }
            measureRestart(mesh, lastDataCentre, "one-data-centre", results);
            monitor.update(1);
            measureRestart(mesh, wholeMesh, "whole-mesh", results);
            monitor.update(1);
        }
        monitor.end();
    }

    private static void publish(
            BenchMesh mesh, int dataCentres, int services, ExperimentOptions options) {
        List<SiteId> sites = new ArrayList<>();
        for (int number = 0; number < dataCentres; number++) {
            sites.add(SiteId.fromString("dc" + number));
        }
        Publisher publisher =
                new Publisher(
                        mesh,
                        new SampleDocuments(FirmId.fromString("bench"), services, SLOTS, sites));
        publisher.publishFirst();
        mesh.awaitJoined();
        publisher.publishChanges(
                options.integer("changes", DEFAULT_CHANGES), 1, Duration.ofMillis(1));
    }

    private static void measureRestart(
            BenchMesh mesh, List<Integer> indexes, String name, ExperimentResults results) {
        long offset = mesh.nodes().get(0).offsetInForce();
        mesh.stop(indexes);
        LogStatistics before = mesh.log().statistics();
        long start = System.nanoTime();
        mesh.restart(indexes);
        mesh.awaitInForce(offset, IN_FORCE_TIMEOUT);
        double seconds = (System.nanoTime() - start) / 1e9;
        LogStatistics after = mesh.log().statistics();
        Histogram ready = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
        for (int index : indexes) {
            MeshNode node = mesh.nodes().get(index);
            long micros = (node.inForceNanos(offset) - start) / NANOS_PER_MICRO;
            ready.recordValue(Math.min(MAX_MICROS, Math.max(0, micros)));
        }
        String prefix = "herd." + name + ".";
        results.addFigure(prefix + "nodes", indexes.size(), "");
        results.addFigure(prefix + "all-ready", seconds, "s");
        results.addPercentiles("time until ready", prefix + "ready", ready, MICROS_PER_MILLI, "ms");
        results.addFigure(prefix + "log-reads", after.reads() - before.reads(), "");
        results.addFigure(prefix + "log-read-bytes", after.readBytes() - before.readBytes(), "B");
        results.addFigure(prefix + "log-appends", after.appends() - before.appends(), "");
        results.addFigure(
                prefix + "log-appends-limited",
                after.appendsLimited() - before.appendsLimited(),
                "");
    }
}
