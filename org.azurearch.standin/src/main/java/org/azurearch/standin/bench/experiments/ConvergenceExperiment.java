package org.azurearch.standin.bench.experiments;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.ProgressMonitor;
import org.azurearch.lib.SiteId;
import org.azurearch.standin.bench.Experiment;
import org.azurearch.standin.bench.ExperimentOptions;
import org.azurearch.standin.bench.ExperimentResults;
import org.azurearch.standin.bench.Series;
import org.azurearch.standin.bench.mesh.BenchMesh;
import org.azurearch.standin.bench.mesh.MeshPlan;
import org.azurearch.standin.bench.mesh.SampleDocuments;
import org.azurearch.standin.bench.report.SlopeFit;

/**
 * Measures how long a change takes to come into force on every node and what traffic it causes, for
 * each combination of policy and number of nodes. The baseline is the policy {@code poll}, where
 * every node reads whole documents from the log.
 */
public final class ConvergenceExperiment implements Experiment {
    private static final String DEFAULT_POLICIES = "convergence,bytes,poll";
    private static final String DEFAULT_NODES = "11,33,66";
    private static final int DEFAULT_DATA_CENTRES = 11;
    private static final int DEFAULT_SERVICES = 380;
    private static final int DEFAULT_CHANGES = 10;
    private static final int SLOTS = 20;
    private static final Duration DEFAULT_STEADY = Duration.ofSeconds(5);
    private static final Duration DEFAULT_SETTLE = Duration.ofSeconds(30);
    private static final double MICROS_PER_MILLI = 1e3;

    private record Options(
            List<String> policies,
            List<Integer> nodes,
            int dataCentres,
            int services,
            int changes,
            int changeSize,
            Duration interval,
            Duration settle,
            Duration steady) {
        static Options from(ExperimentOptions options) {
            return new Options(
                    List.of(options.string("policies", DEFAULT_POLICIES).split(",")),
                    parseNumbers(options.string("nodes", DEFAULT_NODES)),
                    options.integer("dataCentres", DEFAULT_DATA_CENTRES),
                    options.integer("services", DEFAULT_SERVICES),
                    options.integer("changes", DEFAULT_CHANGES),
                    options.integer("changeSize", 1),
                    options.duration("interval", Duration.ofMillis(500)),
                    options.duration("settle", DEFAULT_SETTLE),
                    options.duration("steady", DEFAULT_STEADY));
        }

        private static List<Integer> parseNumbers(String text) {
            List<Integer> numbers = new ArrayList<>();
            for (String part : text.split(",")) {
                numbers.add(Integer.parseInt(part));
            }
            return List.copyOf(numbers);
        }

        int runs() {
            return policies.size() * nodes.size();
        }
    }

    @Override
    public String name() {
        return "convergence";
    }

    @Override
    public String summary() {
        return "time until a change is in force on every node, and the control bytes it costs";
    }

    @Override
    public void run(
            ExperimentOptions experimentOptions,
            ExperimentResults results,
            ProgressMonitor monitor) {
        Options options = Options.from(experimentOptions);
        monitor.begin("convergence", options.runs());
        for (String policy : options.policies()) {
            List<Series.Point> steady = new ArrayList<>();
            List<Series.Point> logReads = new ArrayList<>();
            for (int nodes : options.nodes()) {
                Outcome outcome = measure(policy, nodes, options, results);
                steady.add(new Series.Point(nodes, outcome.steadyBytesPerNodeSecond()));
                logReads.add(new Series.Point(nodes, outcome.logReadsPerSecond()));
                monitor.update(1);
            }
            addSlopes(policy, steady, logReads, results);
        }
        monitor.end();
    }

    private record Outcome(double steadyBytesPerNodeSecond, double logReadsPerSecond) {}

    private static Outcome measure(
            String policy, int nodes, Options options, ExperimentResults results) {
        String prefix = policy + "." + nodes + "nodes.";
        MeshPlan plan = MeshPlan.of(nodes, options.dataCentres(), policy);
        try (BenchMesh mesh = new BenchMesh(plan)) {
            Publisher publisher = new Publisher(mesh, documents(options));
            publisher.publishFirst();
            mesh.awaitJoined();
            MeshCost.settle(options.settle());
            MeshCost idle = MeshCost.measure(mesh, options.steady());
            idle.addTo(results, prefix + "steady.");
            MeshCost.Sample before = MeshCost.sample(mesh);
            publisher.publishChanges(options.changes(), options.changeSize(), options.interval());
            MeshCost busy = MeshCost.between(before, MeshCost.sample(mesh));
            busy.addTo(results, prefix + "changing.");
            results.addFigure(
                    prefix + "change.bytes",
                    (busy.controlBytes() - idle.controlBytes() / idle.seconds() * busy.seconds())
                            / nodes
                            / options.changes(),
                    "B per node and change");
            results.addFigure(
                    prefix + "change.log-bytes",
                    busy.logBytes() / options.changes(),
                    "B per change");
            results.addFigure(
                    prefix + "change.log-reads", busy.logReads() / options.changes(), "per change");
            addDelays(publisher, prefix, results);
            return new Outcome(idle.controlBytesPerNodeSecond(), idle.logReadsPerSecond());
        }
    }

    private static SampleDocuments documents(Options options) {
        List<SiteId> sites = new ArrayList<>();
        for (int number = 0; number < options.dataCentres(); number++) {
            sites.add(SiteId.fromString("dc" + number));
        }
        return new SampleDocuments(FirmId.fromString("bench"), options.services(), SLOTS, sites);
    }

    private static void addDelays(Publisher publisher, String prefix, ExperimentResults results) {
        Histogram inForce = publisher.inForceMicros();
        results.addPercentiles(
                "time in force", prefix + "in-force", inForce, MICROS_PER_MILLI, "ms");
        results.addPercentiles(
                "log delay",
                prefix + "log-append",
                publisher.appendMicros(),
                MICROS_PER_MILLI,
                "ms");
    }

    private static void addSlopes(
            String policy,
            List<Series.Point> steady,
            List<Series.Point> logReads,
            ExperimentResults results) {
        addSlope(policy, "steady bytes by nodes", "B/s per node", steady, results);
        addSlope(policy, "log reads by nodes", "reads/s", logReads, results);
    }

    private static void addSlope(
            String policy,
            String chart,
            String unit,
            List<Series.Point> points,
            ExperimentResults results) {
        results.addSeries(new Series(chart, policy, "nodes", unit, points));
        if (points.size() > 1) {
            SlopeFit fit = SlopeFit.of(points);
            String name = policy + "." + chart.replace(' ', '-');
            results.addFigure(name + ".intercept", fit.intercept(), unit);
            results.addFigure(name + ".slope", fit.slope(), unit + " per node");
            results.addFigure(name + ".slope-error", fit.slopeError(), unit + " per node");
        }
    }
}
