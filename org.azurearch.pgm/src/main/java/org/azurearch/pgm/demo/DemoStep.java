package org.azurearch.pgm.demo;

/** A step of the demonstration. */
interface DemoStep {
    /** Returns what the step does, for a person. */
    String title();

    /**
     * Does it.
     *
     * @param context the running mesh and the calls through it
     */
    StepResult run(DemoContext context);
}
