package org.azurearch.lib;

/** Told of the progress of long work. Implementations must be quick and thread-safe. */
public interface ProgressMonitor {
    /** A monitor that ignores everything. */
    ProgressMonitor NONE =
            new ProgressMonitor() {
                @Override
                public void begin(String title, int totalWork) {
                    // nothing to show
                }

                @Override
                public void update(int completed) {
                    // nothing to show
                }

                @Override
                public void end() {
                    // nothing to show
                }
            };

    /**
     * Begins a task; tasks are not nested.
     *
     * @param title what is done
     * @param totalWork the units of work, 0 when not known
     */
    void begin(String title, int totalWork);

    /**
     * Counts work done.
     *
     * @param completed units done since the last call
     */
    void update(int completed);

    /** Ends the task. */
    void end();
}
