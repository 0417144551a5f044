package org.azurearch.pgm.demo;

import java.time.Duration;
import org.azurearch.admin.ChangeReport;
import org.azurearch.time.SystemTimeSource;
import org.azurearch.time.TimeSource;

/** Publishes the examples and checks the time until they are in force everywhere. */
final class PublishStep implements DemoStep {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final String IN_FORCE = "in-force";

    private final Examples mExamples;
    private final Duration mTarget;
    private final TimeSource mTime = new SystemTimeSource();

    PublishStep(Examples examples, Duration target) {
        mExamples = examples;
        mTarget = target;
    }

    @Override
    public String title() {
        return "publish base and overlays";
    }

    @Override
    public StepResult run(DemoContext context) {
        DemoMesh mesh = context.mesh();
        DemoVm vm = mesh.vms().get(0);
        long start = mTime.nanos();
        ChangeReport report =
                mExamples.publishAll(mesh.client(vm)).setNote("demo").setWait(TIMEOUT).call();
        Duration elapsed = Duration.ofNanos(mTime.nanos() - start);
        boolean kept = report.status().equals(IN_FORCE) && elapsed.compareTo(mTarget) <= 0;
        String detail =
                ChangeSummary.of(report)
                        + " on all nodes of "
                        + report.dataCentres().size()
                        + " data centres after "
                        + elapsed.toMillis()
                        + " ms, target "
                        + mTarget.toMillis();
        return StepResult.of(title(), kept, detail);
    }
}
