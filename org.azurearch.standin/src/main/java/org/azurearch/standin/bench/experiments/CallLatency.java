package org.azurearch.standin.bench.experiments;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.azurearch.standin.backend.BackendOptions;
import org.azurearch.standin.bench.ExperimentOptions;
import org.azurearch.standin.bench.ExperimentResults;
import org.azurearch.standin.load.BareRelay;
import org.azurearch.standin.load.LoadGenerator;
import org.azurearch.standin.load.LoadObserver;
import org.azurearch.standin.load.LoadOutcome;
import org.azurearch.standin.load.LoadPlan;
import org.azurearch.standin.load.LoadReport;
import org.azurearch.standin.load.LoadTarget;
import org.azurearch.standin.load.RequestKind;

/**
 * Measures the latency of calls sent directly, through one and two bare relays, and through two
 * nodes. The latencies come from one run that alternates between the targets.
 */
final class CallLatency implements CallsExperiment.Part {
    private static final int DEFAULT_CALLS_PER_SECOND = 3_600;
    private static final int DEFAULT_CONNECTIONS = 8;
    private static final int DEFAULT_ANSWER_BYTES = 1_024;
    private static final int BACKEND_CONNECTIONS = 1_000;
    private static final int SLOTS = 200;
    private static final double MICROS_PER_MILLI = 1e3;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double MEDIAN = 50.0;
    private static final double P99 = 99.0;
    private static final String DIRECT_TARGET = "direct";
    private static final String ONE_RELAY_TARGET = "bare-relay-one-hop";
    private static final String TWO_RELAYS_TARGET = "bare-relay-two-hops";
    private static final String TWO_NODES_TARGET = "azurearch-two-nodes";

    @Override
    public void run(ExperimentOptions options, ExperimentResults results) {
        BackendOptions backend =
                BackendOptions.DEFAULT
                        .withSlots(SLOTS)
                        .withConnections(BACKEND_CONNECTIONS, Duration.ZERO);
        try (CallsFixture fixture = new CallsFixture(List.of(backend), SLOTS, Map.of())) {
            fixture.announceBackends().awaitReady();
            try (BareRelay last = BareRelay.start(fixture.backend(0).address());
                    BareRelay first = BareRelay.start(last.address())) {
                List<LoadTarget> targets =
                        List.of(
                                LoadTarget.of(DIRECT_TARGET, fixture.backend(0).address()),
                                LoadTarget.of(ONE_RELAY_TARGET, last.address()),
                                LoadTarget.of(TWO_RELAYS_TARGET, first.address()),
                                LoadTarget.of(
                                        TWO_NODES_TARGET, fixture.entryNode().callsAddress()));
                runLoad(plan(options, "warmUp", Duration.ofSeconds(15)), targets);
                LoadReport report =
                        runLoad(plan(options, "measure", Duration.ofSeconds(30)), targets);
                targets.forEach(target -> addLatency(target.name(), report, results));
                addAddedLatency(report, results);
                addProcessorTime(options, targets, results);
            }
        }
    }

    /** Adds the processor time of a call to each target beyond that of a direct call. */
    private static void addProcessorTime(
            ExperimentOptions options, List<LoadTarget> targets, ExperimentResults results) {
        LoadPlan plan = plan(options, "processor", Duration.ofSeconds(8));
        double direct = 0;
        for (LoadTarget target : targets) {
            long before = MeshCost.processorNanos();
            LoadReport report = runLoad(plan, List.of(target));
            double nanos = MeshCost.processorNanos() - before;
            double micros = nanos / NANOS_PER_MICRO / report.total(target.name(), "");
            if (target.name().equals(DIRECT_TARGET)) {
                direct = micros;
            }
            results.addFigure(
                    "processor." + target.name() + ".beyond-direct",
                    micros - direct,
                    "us per call");
        }
    }

    private static LoadPlan plan(
            ExperimentOptions options, String durationOption, Duration defaultDuration) {
        int bytes = options.integer("answerBytes", DEFAULT_ANSWER_BYTES);
        RequestKind read = RequestKind.read("interactive", "/service0/read", 1, bytes);
        return LoadPlan.of(
                        List.of(read),
                        options.integer("perSecond", DEFAULT_CALLS_PER_SECOND),
                        options.duration(durationOption, defaultDuration),
                        options.seed())
                .withConnections(options.integer("connections", DEFAULT_CONNECTIONS));
    }

    private static LoadReport runLoad(LoadPlan plan, List<LoadTarget> targets) {
        try (LoadGenerator generator = new LoadGenerator(plan, targets, LoadObserver.NONE)) {
            return generator.run();
        }
    }

    private static void addLatency(String name, LoadReport report, ExperimentResults results) {
        results.addPercentiles(
                "latency of a call",
                "latency." + name,
                report.latencyMicros(name),
                MICROS_PER_MILLI,
                "ms");
        long failed = report.total(name, "") - report.count(name, "", LoadOutcome.OK);
        results.addFigure("latency." + name + ".failed", failed, "");
    }

    private static void addAddedLatency(LoadReport report, ExperimentResults results) {
        Histogram direct = report.latencyMicros(DIRECT_TARGET);
        for (String name : List.of(ONE_RELAY_TARGET, TWO_RELAYS_TARGET, TWO_NODES_TARGET)) {
            for (double percentile : new double[] {MEDIAN, P99}) {
                long micros =
                        report.latencyMicros(name).getValueAtPercentile(percentile)
                                - direct.getValueAtPercentile(percentile);
                results.addFigure(
                        "added." + name + ".p" + (int) percentile, micros / MICROS_PER_MILLI, "ms");
            }
        }
    }
}
