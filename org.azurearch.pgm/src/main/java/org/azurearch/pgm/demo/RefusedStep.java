package org.azurearch.pgm.demo;

import java.time.Duration;
import org.azurearch.admin.ChangeReport;
import org.azurearch.admin.PublishCommand;
import org.azurearch.admin.VersionsCommand;

/** Publishes an overlay whose route names a service that does not exist; it must be refused. */
final class RefusedStep implements DemoStep {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final String REFUSED = "refused";

    private final Examples mExamples;

    RefusedStep(Examples examples) {
        mExamples = examples;
    }

    @Override
    public String title() {
        return "a publication with a dangling route is refused as a whole";
    }

    @Override
    public StepResult run(DemoContext context) {
        DemoMesh mesh = context.mesh();
        var client = mesh.client(mesh.vms().get(mesh.vms().size() - 1));
        long versionBefore = new VersionsCommand(client, mesh.plan().firm()).call().current();
        ChangeReport report =
                new PublishCommand(client, mesh.plan().firm())
                        .addDocument(mExamples.danglingOverlay())
                        .setWait(TIMEOUT)
                        .call();
        long versionAfter = new VersionsCommand(client, mesh.plan().firm()).call().current();
        ChangeReport.Outcome outcome = report.outcome();
        String problem =
                outcome == null || outcome.problems().isEmpty()
                        ? "no problem reported"
                        : outcome.problems().get(0).text();
        boolean kept =
                report.status().equals(REFUSED)
                        && versionBefore == versionAfter
                        && problem.contains("dangling-reference");
        return StepResult.of(title(), kept, problem);
    }
}
