package org.azurearch.standin.bench.experiments;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.azurearch.standin.backend.BackendOptions;
import org.azurearch.standin.backend.ServiceTime;
import org.azurearch.standin.bench.ExperimentOptions;
import org.azurearch.standin.bench.ExperimentResults;
import org.azurearch.standin.load.LoadGenerator;
import org.azurearch.standin.load.LoadObserver;
import org.azurearch.standin.load.LoadOutcome;
import org.azurearch.standin.load.LoadPlan;
import org.azurearch.standin.load.LoadReport;
import org.azurearch.standin.load.LoadTarget;
import org.azurearch.standin.load.RequestKind;

/**
 * Offers twice the load that the backend servers have capacity for. The capacity is measured first,
 * by keeping all slots busy without nodes in between, and after one run as warm-up.
 */
final class CallOverload implements CallsExperiment.Part {
    private static final int BACKENDS = 3;
    private static final int SLOTS = 6;
    private static final int BACKEND_CONNECTIONS = 100;
    private static final int OVERLOAD_FACTOR = 2;
    private static final int CONNECTIONS_PER_SLOT = 4;
    private static final int CONNECTIONS = 256;
    private static final int SATURATION_CALLS_PER_SECOND = 4_000;
    private static final int ORDERS_WEIGHT = 2;
    private static final int READS_WEIGHT = 4;
    private static final double MICROS_PER_MILLI = 1e3;
    private static final double PERCENT = 100.0;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final Duration SERVICE_TIME = Duration.ofMillis(10);
    private static final Duration SATURATION_TIME = Duration.ofSeconds(3);
    private static final Duration WARM_UP = Duration.ofSeconds(5);
    private static final String TARGET = "azurearch";
    private static final List<RequestKind> MIX =
            List.of(
                    RequestKind.orderWithoutKey("orders", "/service0/order", ORDERS_WEIGHT, 0),
                    RequestKind.read("interactive", "/service0/read", READS_WEIGHT, 0),
                    RequestKind.read("history", "/service0/history", READS_WEIGHT, 0));

    @Override
    public void run(ExperimentOptions options, ExperimentResults results) {
        try (CallsFixture fixture = new CallsFixture(backends(options), SLOTS, Map.of())) {
            measureCapacity(fixture, options);
            double capacity = measureCapacity(fixture, options);
            results.addFigure("overload.capacity", capacity, "calls/s");
            fixture.announceBackends().awaitReady();
            int offeredPerSecond = (int) (capacity * OVERLOAD_FACTOR);
            runLoad(fixture, offeredPerSecond, WARM_UP, options);
            Duration loadTime = options.duration("overload", Duration.ofSeconds(15));
            LoadReport report = runLoad(fixture, offeredPerSecond, loadTime, options);
            addFigures(report, capacity, loadTime, results);
        }
    }

    private static List<BackendOptions> backends(ExperimentOptions options) {
        List<BackendOptions> backends = new ArrayList<>();
        for (int index = 0; index < BACKENDS; index++) {
            backends.add(
                    BackendOptions.DEFAULT
                            .withSlots(SLOTS)
                            .withConnections(BACKEND_CONNECTIONS, Duration.ofMillis(1))
                            .withServiceTime(
                                    new ServiceTime(SERVICE_TIME, ServiceTime.Shape.EXPONENTIAL))
                            .withSeed(options.seed() + index));
        }
        return backends;
    }

    /**
     * Sends calls directly to the backend servers over more connections than they have slots.
     * Returns the successful answers per second.
     */
    private static double measureCapacity(CallsFixture fixture, ExperimentOptions options) {
        LoadPlan plan =
                LoadPlan.of(MIX, SATURATION_CALLS_PER_SECOND, SATURATION_TIME, options.seed())
                        .withConnections(SLOTS * CONNECTIONS_PER_SLOT)
                        .withTimeout(Duration.ofSeconds(30));
        LoadTarget target = new LoadTarget("direct", fixture.backendAddresses());
        long start = System.nanoTime();
        try (LoadGenerator generator =
                new LoadGenerator(plan, List.of(target), LoadObserver.NONE)) {
            LoadReport report = generator.run();
            double seconds = (System.nanoTime() - start) / NANOS_PER_SECOND;
            return report.count("direct", "", LoadOutcome.OK) / seconds;
        }
    }

    private static LoadReport runLoad(
            CallsFixture fixture,
            int callsPerSecond,
            Duration loadTime,
            ExperimentOptions options) {
        LoadPlan plan =
                LoadPlan.of(MIX, callsPerSecond, loadTime, options.seed())
                        .withConnections(CONNECTIONS);
        LoadTarget target = LoadTarget.of(TARGET, fixture.entryNode().callsAddress());
        try (LoadGenerator generator =
                new LoadGenerator(plan, List.of(target), LoadObserver.NONE)) {
            return generator.run();
        }
    }

    private static void addFigures(
            LoadReport report, double capacity, Duration loadTime, ExperimentResults results) {
        double goodput =
                report.count(TARGET, "", LoadOutcome.OK) / (loadTime.toNanos() / NANOS_PER_SECOND);
        results.addFigure("overload.goodput", goodput, "calls/s");
        results.addFigure("overload.goodput-of-capacity", goodput / capacity * PERCENT, "%");
        for (RequestKind kind : MIX) {
            double ok = report.count(TARGET, kind.name(), LoadOutcome.OK);
            double total = Math.max(1, report.total(TARGET, kind.name()));
            results.addFigure("overload." + kind.name() + ".success", ok / total * PERCENT, "%");
            results.addPercentiles(
                    "latency under overload",
                    "overload." + kind.name(),
                    report.latencyMicros(TARGET, kind.name()),
                    MICROS_PER_MILLI,
                    "ms");
        }
        report.errorCodes()
                .forEach((code, count) -> results.addFigure("overload.code." + code, count, ""));
        for (LoadOutcome outcome : LoadOutcome.values()) {
            results.addFigure(
                    "overload.outcome." + outcome.name().toLowerCase(Locale.ROOT),
                    report.count(TARGET, "", outcome),
                    "");
        }
    }
}
