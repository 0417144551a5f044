package org.azurearch.pgm.demo;

import java.time.Duration;
import org.azurearch.admin.ChangeReport;
import org.azurearch.admin.UndoCommand;

/** Restores the content of the first version as a new version. */
final class UndoStep implements DemoStep {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    @Override
    public String title() {
        return "undo as a new version";
    }

    @Override
    public StepResult run(DemoContext context) {
        DemoMesh mesh = context.mesh();
        ChangeReport report =
                new UndoCommand(mesh.client(mesh.vms().get(0)), mesh.plan().firm())
                        .setVersion(1)
                        .setWait(TIMEOUT)
                        .call();
        ChangeReport.Outcome outcome = report.outcome();
        String version = outcome == null ? "no version" : outcome.version();
        return StepResult.of(
                title(),
                report.status().equals("in-force"),
                ChangeSummary.of(report) + " as " + version);
    }
}
