package org.azurearch.pgm.demo;

import java.util.List;
import org.azurearch.admin.AdminClient;
import org.azurearch.errors.AzurearchException;
import org.azurearch.standin.backend.BackendStatistics;

/** Checks that in the whole run no call ran twice, no answer was mixed up, no version regressed. */
final class GuaranteesStep implements DemoStep {
    @Override
    public String title() {
        return "no double run, no mixed answer, no version regression";
    }

    @Override
    public StepResult run(DemoContext context) {
        DemoMesh mesh = context.mesh();
        CallLoad load = context.load();
        VersionMonitor versionMonitor = context.versionMonitor();
        long doubleRuns = mesh.vms().stream().mapToLong(GuaranteesStep::doubleRunCount).sum();
        boolean kept =
                doubleRuns == 0
                        && load.mixedAnswerCount() == 0
                        && versionMonitor.regressionCount() == 0;
        String detail =
                load.answeredCount()
                        + " calls answered, "
                        + load.failedCount()
                        + " failed, double runs "
                        + doubleRuns
                        + ", mixed answers "
                        + load.mixedAnswerCount()
                        + ", version regressions "
                        + versionMonitor.regressionCount()
                        + " in "
                        + versionMonitor.sampleCount()
                        + " samples";
        return StepResult.of(title(), kept, detail);
    }

    private static long doubleRunCount(DemoVm vm) {
        try {
            return new AdminClient(List.of(vm.backendAddress()), "", null)
                    .get("/statistics", BackendStatistics.class)
                    .doubleRuns();
        } catch (AzurearchException e) {
            return 0;
        }
    }
}
