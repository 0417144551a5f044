package org.azurearch.standin.bench.experiments;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.azurearch.member.LocalNode;
import org.azurearch.standin.backend.BackendOptions;
import org.azurearch.standin.bench.ExperimentOptions;
import org.azurearch.standin.bench.ExperimentResults;
import org.azurearch.standin.load.LoadGenerator;
import org.azurearch.standin.load.LoadOutcome;
import org.azurearch.standin.load.LoadPlan;
import org.azurearch.standin.load.LoadReport;
import org.azurearch.standin.load.LoadTarget;
import org.azurearch.standin.load.RequestKind;
import org.azurearch.standin.proxy.FaultPlan;
import org.azurearch.standin.proxy.FaultProxy;
import org.azurearch.standin.proxy.ProxyFault;

/**
 * Sends requests over connections that break: from caller to entry node, between nodes, and from
 * node to backend server. Callers retry keyed orders and reads whose outcome is unknown. Backend
 * servers count every run, so that double runs and wrong verdicts are found.
 */
final class CallFaults implements CallsExperiment.Part {
    private static final int BACKENDS = 3;
    private static final int SLOTS = 100;
    private static final int BACKEND_CONNECTIONS = 1_000;
    private static final int DEFAULT_REQUESTS = 100_000;
    private static final int DEFAULT_REQUESTS_PER_SECOND = 2_000;
    private static final int CONNECTIONS = 128;
    private static final int MAX_RETRIES = 3;
    private static final int MAX_BYTES_BEFORE_CUT = 20_000;
    private static final int READ_WEIGHT = 7;
    private static final int ORDER_WEIGHT = 2;
    private static final int ANSWER_BYTES = 700;
    private static final int BODY_BYTES = 300;
    private static final int DEFAULT_CONNECTIONS_PER_FAULT = 16;
    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final String TARGET = "azurearch";
    private static final List<RequestKind> MIX =
            List.of(
                    RequestKind.read("reads", "/service0/read", READ_WEIGHT, ANSWER_BYTES),
                    RequestKind.order("keyed-orders", "/service0/order", 1, BODY_BYTES),
                    RequestKind.orderWithoutKey(
                            "orders", "/service0/order", ORDER_WEIGHT, BODY_BYTES));

    @Override
    public void run(ExperimentOptions options, ExperimentResults results) {
        int requests = options.integer("requests", DEFAULT_REQUESTS);
        int requestsPerSecond = options.integer("faultsPerSecond", DEFAULT_REQUESTS_PER_SECOND);
        Duration loadTime = Duration.ofMillis(1_000L * requests / requestsPerSecond);
        BackendOptions backend =
                BackendOptions.DEFAULT
                        .withSlots(SLOTS)
                        .withConnections(BACKEND_CONNECTIONS, Duration.ZERO);
        List<BackendOptions> backends = Collections.nCopies(BACKENDS, backend);
        try (CallsFixture fixture = new CallsFixture(backends, SLOTS, Map.of());
                Proxies proxies = new Proxies(fixture)) {
            fixture.awaitReady();
            proxies.setFaultPlans(
                    options.seed(),
                    options.integer("connectionsPerFault", DEFAULT_CONNECTIONS_PER_FAULT));
            LoadPlan plan =
                    LoadPlan.of(MIX, requestsPerSecond, loadTime, options.seed())
                            .withConnections(CONNECTIONS)
                            .withRetries(MAX_RETRIES)
                            .withTimeout(TIMEOUT);
            RunAudit audit = new RunAudit(fixture.runs());
            LoadTarget target = LoadTarget.of(TARGET, proxies.callerProxy().address());
            try (LoadGenerator generator = new LoadGenerator(plan, List.of(target), audit)) {
                addFigures(generator.run(), audit, proxies, results);
                results.addFigure("faults.ready-at-the-end", fixture.readyBackends(), "");
            }
        }
    }

    private static void addFigures(
            LoadReport report, RunAudit audit, Proxies proxies, ExperimentResults results) {
        results.addFigure("faults.sendings", report.total(TARGET, ""), "");
        results.addFigure("faults.connections", proxies.acceptedConnections(), "");
        results.addFigure("faults.double-runs", audit.doubleRuns(), "");
        results.addFigure(
                "faults.mixed-answers", report.count(TARGET, "", LoadOutcome.WRONG_ANSWER), "");
        report.errorCodes()
                .forEach((code, count) -> results.addFigure("faults.code." + code, count, ""));
        for (RequestKind kind : MIX) {
            results.addFigure(
                    "faults." + kind.name() + ".false-not-run", audit.falseNotRun(kind), "");
            for (LoadOutcome outcome : LoadOutcome.values()) {
                results.addFigure(
                        "faults." + kind.name() + "." + outcome.name().toLowerCase(Locale.ROOT),
                        report.count(TARGET, kind.name(), outcome),
                        "");
            }
        }
    }

    /** Fault proxies on every connection of a call. */
    private static final class Proxies implements AutoCloseable {
        private final List<FaultProxy> mAll = new ArrayList<>();
        private final FaultProxy mCallerProxy;

        Proxies(CallsFixture fixture) {
            mCallerProxy = register(FaultProxy.start(fixture.entryNode().callsAddress()));
            for (int index = 0; index < BACKENDS; index++) {
                FaultProxy node =
                        register(FaultProxy.start(fixture.destinationNode(index).callsAddress()));
                fixture.destinationNode(index)
                        .kernel()
                        .service(LocalNode.class)
                        .setCallsAddress(node.address());
                FaultProxy backend = register(FaultProxy.start(fixture.backend(index).address()));
                fixture.announceBackend(index, backend.address());
            }
        }

        FaultProxy callerProxy() {
            return mCallerProxy;
        }

        void setFaultPlans(long seed, int connectionsPerFault) {
            for (int index = 0; index < mAll.size(); index++) {
                mAll.get(index).setPlan(new RandomFaults(seed + index, connectionsPerFault));
            }
        }

        int acceptedConnections() {
            return mAll.stream().mapToInt(FaultProxy::acceptedConnections).sum();
        }

        @Override
        public void close() {
            mAll.forEach(FaultProxy::close);
        }

        private FaultProxy register(FaultProxy proxy) {
            mAll.add(proxy);
            return proxy;
        }
    }

    /**
     * Breaks or delays every n-th connection. The kind of fault and its place are drawn from the
     * seed and the index of the connection.
     */
    private record RandomFaults(long seed, int connectionsPerFault) implements FaultPlan {
        @Override
        public ProxyFault faultOf(int connection) {
            RandomGenerator random =
                    RandomGeneratorFactory.of("L64X128MixRandom")
                            .create(seed * Integer.MAX_VALUE + connection);
            if (connection % connectionsPerFault != 0) {
                return ProxyFault.NONE;
            }
            long bytes = random.nextInt(MAX_BYTES_BEFORE_CUT);
            List<ProxyFault> faults =
                    List.of(
                            ProxyFault.cutRequestAfter(bytes),
                            ProxyFault.cutAnswerAfter(bytes),
                            ProxyFault.cutAnswerAfter(bytes),
                            ProxyFault.CUT_ANSWER,
                            ProxyFault.delay(Duration.ofMillis(random.nextInt(20))));
            return faults.get(random.nextInt(faults.size()));
        }
    }
}
