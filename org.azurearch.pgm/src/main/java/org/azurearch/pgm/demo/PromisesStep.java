package org.azurearch.pgm.demo;

import java.util.List;
import org.azurearch.admin.AdminClient;
import org.azurearch.errors.AzurearchException;
import org.azurearch.standin.backend.BackendStatistics;

/** Checks over the whole run: no double run, no mixed answer, no version that went back. */
final class PromisesStep implements DemoStep {
    @Override
    public String title() {
        return "no double run, no mixed answer, no version back";
    }

    @Override
    public StepResult run(DemoContext context) {
        DemoMesh mesh = context.mesh();
        CallLoad load = context.load();
        VersionWatch watch = context.watch();
        long doubleRuns = mesh.vms().stream().mapToLong(PromisesStep::doubleRuns).sum();
        boolean kept = doubleRuns == 0 && load.mixed() == 0 && watch.wentBack() == 0;
        String detail =
                load.answered()
                        + " calls answered, "
                        + load.failed()
                        + " failed, double runs "
                        + doubleRuns
                        + ", mixed answers "
                        + load.mixed()
                        + ", versions seen to go back "
                        + watch.wentBack()
                        + " in "
                        + watch.looks()
                        + " looks";
        return StepResult.of(title(), kept, detail);
    }

    private static long doubleRuns(DemoVm vm) {
        try {
            return new AdminClient(List.of(vm.backendAddress()), "", null)
                    .get("/statistics", BackendStatistics.class)
                    .doubleRuns();
        } catch (AzurearchException e) {
            return 0;
        }
    }
}
