package org.azurearch.pgm.demo;

/** A step of the demonstration. */
interface DemoStep {
    /** Returns a one-line description of the step. */
    String title();

    /**
     * Runs the step.
     *
     * @param context the running mesh and the calls through it
     */
    StepResult run(DemoContext context);
}
