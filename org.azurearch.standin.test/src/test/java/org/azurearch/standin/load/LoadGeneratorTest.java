package org.azurearch.standin.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.azurearch.lib.NetAddress;
import org.azurearch.standin.backend.BackendOptions;
import org.azurearch.standin.backend.BackendServer;
import org.azurearch.standin.backend.RunCounter;
import org.azurearch.standin.proxy.FaultProxy;
import org.azurearch.standin.proxy.ProxyFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LoadGeneratorTest {
    private static final NetAddress EPHEMERAL = new NetAddress("127.0.0.1", 0);
    private static final List<RequestKind> MIX =
            List.of(
                    RequestKind.read("read", "/a", 3, 500),
                    RequestKind.order("order", "/b", 1, 200));

    /** Keeps the connections of two targets together below the backend server's limit. */
    private static final int CONNECTIONS = 16;

    private final RunCounter mRuns = new RunCounter();
    private final BackendServer mServer =
            BackendServer.start(EPHEMERAL, BackendOptions.DEFAULT.withSlots(200), mRuns);

    @AfterEach
    void close() {
        mServer.close();
    }

    @Test
    void sendsWholeScheduleAndChecksAnswers() {
        try (BareRelay relay = BareRelay.start(mServer.address())) {
            LoadReport report =
                    run(
                            plan(),
                            LoadTarget.of("direct", mServer.address()),
                            LoadTarget.of("relay", relay.address()));
            assertEquals(100, report.total("direct", ""));
            assertEquals(100, report.total("relay", ""));
            assertEquals(100, report.count("relay", "", LoadOutcome.OK));
            assertEquals(
                    200,
                    report.latencyMicros("direct").getTotalCount()
                            + report.latencyMicros("relay").getTotalCount());
        }
    }

    @Test
    void retriesLostRequestsAndCountsEveryRun() {
        try (FaultProxy proxy = FaultProxy.start(mServer.address())) {
            proxy.setPlan(number -> number < 2 ? ProxyFault.CUT_ANSWER : ProxyFault.NONE);
            LoadReport report =
                    run(
                            plan().withRetries(3).withConnections(2),
                            LoadTarget.of("faulty", proxy.address()));
            assertTrue(report.count("faulty", "", LoadOutcome.LOST) >= 1);
            assertEquals(200, report.count("faulty", "", LoadOutcome.OK));
            assertEquals(report.total("faulty", ""), mRuns.runs());
        }
    }

    @Test
    void crossedAnswersAreReportedAsWrong() {
        try (FaultProxy proxy = FaultProxy.start(mServer.address())) {
            proxy.setFault(ProxyFault.CROSSED);
            LoadReport report =
                    run(
                            plan().withConnections(4).withTimeout(Duration.ofMillis(500)),
                            LoadTarget.of("crossed", proxy.address()));
            assertTrue(report.count("crossed", "", LoadOutcome.WRONG_ANSWER) > 0);
        }
    }

    @Test
    void refusedConnectionsAreReported() {
        mServer.close();
        LoadReport report = run(plan(), LoadTarget.of("stopped", mServer.address()));
        assertEquals(200, report.count("stopped", "", LoadOutcome.NOT_CONNECTED));
    }

    private static LoadPlan plan() {
        return LoadPlan.of(MIX, 1_000, Duration.ofMillis(200), 7).withConnections(CONNECTIONS);
    }

    private static LoadReport run(LoadPlan plan, LoadTarget... targets) {
        try (LoadGenerator generator =
                new LoadGenerator(plan, List.of(targets), LoadObserver.NONE)) {
            return generator.run();
        }
    }
}
