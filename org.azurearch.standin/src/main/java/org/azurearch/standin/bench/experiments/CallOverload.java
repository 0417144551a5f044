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
 * Twice the load that the backend servers can take. The capacity is measured first, once the
 * programs are warm: the slots are kept busy directly, without nodes.
 */
final class CallOverload implements CallsExperiment.Part {
    private static final int BACKENDS = 3;
    private static final int SLOTS = 6;
    private static final int BACKEND_CONNECTIONS = 100;
    private static final int OVERLOAD = 2;
    private static final int CONNECTIONS_PER_SLOT = 4;
    private static final int CONNECTIONS = 256;
    private static final int FULL_PER_SECOND = 4_000;
    private static final int TOP_WEIGHT = 2;
    private static final int OTHER_WEIGHT = 4;
    private static final double MICROS_PER_MILLI = 1e3;
    private static final double PERCENT = 100.0;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final Duration SERVICE_TIME = Duration.ofMillis(10);
    private static final Duration FULL = Duration.ofSeconds(3);
    private static final Duration WARM_UP = Duration.ofSeconds(5);
    private static final String TARGET = "azurearch";
    private static final List<RequestKind> MIX =
            List.of(
                    RequestKind.orderWithoutKey("orders", "/service0/order", TOP_WEIGHT, 0),
                    RequestKind.read("interactive", "/service0/read", OTHER_WEIGHT, 0),
                    RequestKind.read("history", "/service0/history", OTHER_WEIGHT, 0));

    @Override
    public void run(ExperimentOptions options, ExperimentResults results) {
        try (CallsFixture fixture = new CallsFixture(backends(options), SLOTS, Map.of())) {
            capacity(fixture, options);
            double capacity = capacity(fixture, options);
            results.figure("overload.capacity", capacity, "calls/s");
            fixture.announce().awaitReady();
            int offered = (int) (capacity * OVERLOAD);
            load(fixture, offered, WARM_UP, options);
            Duration length = options.duration("overload", Duration.ofSeconds(15));
            LoadReport report = load(fixture, offered, length, options);
            add(report, capacity, length, results);
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

    /** Keeps every slot busy with more connections than slots; returns the answers a second. */
    private static double capacity(CallsFixture fixture, ExperimentOptions options) {
        LoadPlan plan =
                LoadPlan.of(MIX, FULL_PER_SECOND, FULL, options.seed())
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

    private static LoadReport load(
            CallsFixture fixture, int perSecond, Duration length, ExperimentOptions options) {
        LoadPlan plan =
                LoadPlan.of(MIX, perSecond, length, options.seed()).withConnections(CONNECTIONS);
        LoadTarget target = LoadTarget.of(TARGET, fixture.entry().callsAddress());
        try (LoadGenerator generator =
                new LoadGenerator(plan, List.of(target), LoadObserver.NONE)) {
            return generator.run();
        }
    }

    private static void add(
            LoadReport report, double capacity, Duration length, ExperimentResults results) {
        double goodput =
                report.count(TARGET, "", LoadOutcome.OK) / (length.toNanos() / NANOS_PER_SECOND);
        results.figure("overload.goodput", goodput, "calls/s");
        results.figure("overload.goodput-of-capacity", goodput / capacity * PERCENT, "%");
        for (RequestKind kind : MIX) {
            double ok = report.count(TARGET, kind.name(), LoadOutcome.OK);
            double total = Math.max(1, report.total(TARGET, kind.name()));
            results.figure("overload." + kind.name() + ".success", ok / total * PERCENT, "%");
            results.percentiles(
                    "latency under overload",
                    "overload." + kind.name(),
                    report.latencyMicros(TARGET, kind.name()),
                    MICROS_PER_MILLI,
                    "ms");
        }
        report.errorCodes().forEach((code, n) -> results.figure("overload.code." + code, n, ""));
        for (LoadOutcome outcome : LoadOutcome.values()) {
            results.figure(
                    "overload.outcome." + outcome.name().toLowerCase(Locale.ROOT),
                    report.count(TARGET, "", outcome),
                    "");
        }
    }
}
