package org.azurearch.standin.bench;

import org.azurearch.lib.ProgressMonitor;

/**
 * An experiment over the stand-ins. Implementations are found through {@code
 * META-INF/services/org.azurearch.standin.bench.Experiment}.
 */
public interface Experiment {
    /** Returns the name on the command line. */
    String name();

    /** Returns one sentence that says what is found out. */
    String summary();

    /**
     * Runs the experiment; bounded in time, memory and threads.
     *
     * @param options the options; those not known are refused after the run has read its own
     * @param results where figures and series go
     * @param monitor told of the progress
     */
    void run(ExperimentOptions options, ExperimentResults results, ProgressMonitor monitor);
}
