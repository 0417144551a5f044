package org.azurearch.standin.bench;

import org.azurearch.lib.ProgressMonitor;

/**
 * A measurement on nodes, backend servers and a log that run in this process. Implementations are
 * listed in {@code META-INF/services/org.azurearch.standin.bench.Experiment}.
 */
public interface Experiment {
    /** Returns the name used on the command line. */
    String name();

    /** Returns a summary, in one sentence, of what is measured. */
    String summary();

    /**
     * Runs the experiment. A run is bounded in time, memory and threads.
     *
     * @param options the options; the caller rejects those that the run has not read
     * @param results receives the figures and series
     * @param monitor receives progress updates
     */
    void run(ExperimentOptions options, ExperimentResults results, ProgressMonitor monitor);
}
