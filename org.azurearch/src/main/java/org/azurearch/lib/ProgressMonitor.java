package org.azurearch.lib;

/** Receives the progress of a long task. Implementations must be fast and thread-safe. */
public interface ProgressMonitor {
    /** A monitor that ignores all calls. */
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
     * @param title a description of the task
     * @param totalWork the units of work, 0 if unknown
     */
    void begin(String title, int totalWork);

    /**
     * Reports completed work.
     *
     * @param completed the units of work completed since the last call
     */
    void update(int completed);

    /** Ends the task. */
    void end();
}
