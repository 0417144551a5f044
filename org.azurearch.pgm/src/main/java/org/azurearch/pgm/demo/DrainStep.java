package org.azurearch.pgm.demo;

import java.time.Duration;
import java.util.List;
import org.azurearch.admin.AdminClient;
import org.azurearch.standin.backend.BackendStatistics;

/**
 * Drains a backend server under load. After the target time it must get no new request, and no call
 * may fail.
 */
final class DrainStep implements DemoStep {
    private static final Duration OBSERVATION_TIME = Duration.ofSeconds(2);

    private final Duration mTarget;

    DrainStep(Duration target) {
        mTarget = target;
    }

    @Override
    public String title() {
        return "drain a backend server under load";
    }

    @Override
    public StepResult run(DemoContext context) {
        DemoMesh mesh = context.mesh();
        CallLoad load = context.load();
        DemoVm vm = mesh.vms().get(2);
        long failedBefore = load.failedCount();
        mesh.client(vm).post("/v1/backend/drain", "", String.class);
        Waiting waiting = new Waiting();
        waiting.pause(mTarget);
        long runsAfterDrain = runCount(vm);
        waiting.pause(OBSERVATION_TIME);
        long lateRuns = runCount(vm) - runsAfterDrain;
        long failed = load.failedCount() - failedBefore;
        String detail =
                "requests begun more than "
                        + mTarget.toMillis()
                        + " ms after the drain: "
                        + lateRuns
                        + ", calls failed: "
                        + (failed == 0 ? "none" : load.failureCountByKind());
        return StepResult.of(title(), lateRuns == 0 && failed == 0, detail);
    }

    private static long runCount(DemoVm vm) {
        return new AdminClient(List.of(vm.backendAddress()), "", null)
                .get("/statistics", BackendStatistics.class)
                .runs();
    }
}
