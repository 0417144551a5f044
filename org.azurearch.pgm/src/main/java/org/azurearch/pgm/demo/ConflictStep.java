package org.azurearch.pgm.demo;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.azurearch.admin.AdminClient;
import org.azurearch.admin.ChangeReport;
import org.azurearch.admin.PublishCommand;
import org.azurearch.admin.VersionsCommand;

/** Publishes the base twice at once, with the same expected version: one must be refused. */
final class ConflictStep implements DemoStep {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final Examples mExamples;

    ConflictStep(Examples examples) {
        mExamples = examples;
    }

    @Override
    public String title() {
        return "of two concurrent publications one is refused as a conflict";
    }

    @Override
    public StepResult run(DemoContext context) {
        DemoMesh mesh = context.mesh();
        AdminClient first = mesh.client(mesh.vms().get(0));
        AdminClient second = mesh.client(mesh.vms().get(1));
        long version = new VersionsCommand(first, mesh.plan().firm()).call().current();
        CompletableFuture<ChangeReport> a =
                CompletableFuture.supplyAsync(() -> publish(mesh, first, version, "# one\n"));
        CompletableFuture<ChangeReport> b =
                CompletableFuture.supplyAsync(() -> publish(mesh, second, version, "# two\n"));
        ChangeReport one = a.join();
        ChangeReport two = b.join();
        boolean kept = conflictsWithWinner(one, two) || conflictsWithWinner(two, one);
        return StepResult.of(
                title(), kept, ChangeSummary.of(one) + " and " + ChangeSummary.of(two));
    }

    private ChangeReport publish(
            DemoMesh mesh, AdminClient client, long expected, String addedLine) {
        return new PublishCommand(client, mesh.plan().firm())
                .addDocument(mExamples.baseWith(addedLine))
                .setExpectedVersion(expected)
                .setWait(TIMEOUT)
                .call();
    }

    private static boolean conflictsWithWinner(ChangeReport winner, ChangeReport loser) {
        ChangeReport.Outcome outcome = loser.outcome();
        return winner.status().equals("in-force")
                && outcome != null
                && outcome.conflict()
                && winner.change().equals(outcome.winner());
    }
}
