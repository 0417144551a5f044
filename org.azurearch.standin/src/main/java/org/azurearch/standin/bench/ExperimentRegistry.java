package org.azurearch.standin.bench;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.ServiceLoader;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.ProgressMonitor;

/** Finds the experiments on the class path and runs them by name. */
public final class ExperimentRegistry {
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final String UNKNOWN_COMMIT = "unknown";

    private final List<Experiment> mExperiments = new ArrayList<>();

    /** Loads every {@link Experiment} that the service loader finds. */
    public ExperimentRegistry() {
        ServiceLoader.load(Experiment.class).forEach(mExperiments::add);
        mExperiments.sort(Comparator.comparing(Experiment::name));
    }

    /** Returns the experiments, sorted by name. */
    public List<Experiment> experiments() {
        return List.copyOf(mExperiments);
    }

    /**
     * Runs an experiment.
     *
     * @param name the name of the experiment
     * @throws AzurearchException with {@link ErrorCode#USAGE} if there is no such experiment or it
     *     does not use one of the options
     */
    public ExperimentRecord run(String name, ExperimentOptions options, ProgressMonitor monitor) {
        Experiment experiment = find(name);
        ExperimentResults results = new ExperimentResults();
        Instant start = Instant.now();
        options.seed();
        experiment.run(options, results, monitor);
        options.rejectUnknown();
        double seconds = Duration.between(start, Instant.now()).toMillis() / MILLIS_PER_SECOND;
        return new ExperimentRecord(
                name,
                start.truncatedTo(ChronoUnit.SECONDS).toString(),
                seconds,
                currentCommit(),
                ExperimentRecord.Machine.current(),
                options.effectiveValues(),
                results.figures(),
                results.series());
    }

    private Experiment find(String name) {
        return mExperiments.stream()
                .filter(experiment -> experiment.name().equals(name))
                .findFirst()
                .orElseThrow(
                        () ->
                                new AzurearchException(
                                        ErrorCode.USAGE,
                                        "unknown experiment "
                                                + name
                                                + "; available: "
                                                + mExperiments.stream()
                                                        .map(Experiment::name)
                                                        .toList()));
    }

    private static String currentCommit() {
        String commit = gitOutput("rev-parse", "--short=12", "HEAD");
        if (commit.isEmpty()) {
            return UNKNOWN_COMMIT;
        }
        return gitOutput("status", "--porcelain", "--untracked-files=no").isEmpty()
                ? commit
                : commit + "+";
    }

    private static String gitOutput(String... arguments) {
        List<String> command = new ArrayList<>(List.of("git"));
        command.addAll(List.of(arguments));
        try {
            Process process =
                    new ProcessBuilder(command)
                            .redirectError(ProcessBuilder.Redirect.DISCARD)
                            .start();
            byte[] output = process.getInputStream().readAllBytes();
            return process.waitFor() == 0 ? new String(output, StandardCharsets.UTF_8).trim() : "";
        } catch (IOException e) {
            return "";
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "";
        }
    }
}
