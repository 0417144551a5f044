package org.azurearch.pgm.demo;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.azurearch.errors.AzurearchException;
import org.azurearch.lib.ProgressMonitor;
import org.azurearch.pgm.PgmText;

/** Runs a firm at its present size and checks the guarantees. */
public final class Demo implements AutoCloseable {
    private final DemoMesh mMesh;
    private final Examples mExamples;
    private final ProgressMonitor mMonitor;
    private final DemoTargets mTargets;

    /**
     * Starts all processes.
     *
     * @param plan the firm
     * @param examples the folder with the firm's documents
     * @param folder the folder for settings and logs
     * @param targets the targets to check
     * @param monitor receives the progress
     */
    public Demo(
            FirmPlan plan,
            Path examples,
            Path folder,
            DemoTargets targets,
            ProgressMonitor monitor) {
        mExamples = new Examples(plan, examples);
        mMonitor = monitor;
        mTargets = targets;
        mMesh = new DemoMesh(plan, folder, monitor);
    }

    /** Runs all steps in order; a failed step does not stop the run. */
    public DemoReport run() {
        List<DemoStep> steps =
                List.of(
                        new MembershipStep(),
                        new PublishStep(mExamples, mTargets.inForceTarget()),
                        new CallsStep(),
                        new RefusedStep(mExamples),
                        new ConflictStep(mExamples),
                        new RestartStep(),
                        new DrainStep(mTargets.drainTarget()),
                        new UndoStep(),
                        new GuaranteesStep());
        List<StepResult> results = new ArrayList<>();
        mMonitor.begin("steps", steps.size());
        try (DemoContext context = new DemoContext(mMesh)) {
            for (DemoStep step : steps) {
                results.add(runStep(step, context));
                mMonitor.update(1);
            }
        }
        mMonitor.end();
        return new DemoReport(mMesh.plan().firm().name(), results);
    }

    /** Returns a text with commands to try on the running mesh. */
    public String accessHint() {
        NodeAddresses node = mMesh.vms().get(0).addresses();
        return PgmText.KEEP_HINT.format(
                node.admin(), mMesh.plan().firm(), mMesh.token(), node.calls());
    }

    @Override
    public void close() {
        mMesh.close();
    }

    private static StepResult runStep(DemoStep step, DemoContext context) {
        try {
            return step.run(context);
        } catch (AzurearchException e) {
            return StepResult.of(step.title(), false, String.valueOf(e.getMessage()));
        }
    }
}
