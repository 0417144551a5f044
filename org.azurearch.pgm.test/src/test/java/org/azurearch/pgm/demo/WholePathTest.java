package org.azurearch.pgm.demo;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.azurearch.junit.RepositoryFiles;
import org.azurearch.lib.ProgressMonitor;
import org.azurearch.pgm.demo.FirmPlan.ServicePlan;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs all steps of the demonstration with real processes: six VMs in three data centres. */
class WholePathTest {
    private static final DemoTargets TEST_TARGETS =
            new DemoTargets(Duration.ofSeconds(30), Duration.ofSeconds(10));

    private static final Path EXAMPLES = RepositoryFiles.root().resolve("examples/regie");

    @TempDir Path mFolder;

    @Test
    void everyGuaranteeOfTheDemonstrationHolds() {
        FirmPlan whole = FirmPlan.of("regie");
        FirmPlan small =
                new FirmPlan(
                        whole.firm(),
                        whole.region(),
                        whole.dataCentres(),
                        whole.services().stream().map(WholePathTest::withTwoBackends).toList(),
                        whole.calls());
        try (Demo demo = new Demo(small, EXAMPLES, mFolder, TEST_TARGETS, ProgressMonitor.NONE)) {
            DemoReport report = demo.run();
            List<StepResult> broken =
                    report.steps().stream()
                            .filter(step -> step.status() != StepResult.Status.KEPT)
                            .toList();
            assertTrue(broken.isEmpty(), report.table());
        }
    }

    private static ServicePlan withTwoBackends(ServicePlan service) {
        return new ServicePlan(
                service.id(), 2, service.slots(), service.connections(), service.probeMillis());
    }
}
