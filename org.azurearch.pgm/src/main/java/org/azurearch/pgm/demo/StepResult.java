package org.azurearch.pgm.demo;

/**
 * The result of a step.
 *
 * @param step the title of the step
 * @param status whether the guarantee was kept
 * @param detail the figures or the error behind the status
 */
public record StepResult(String step, Status status, String detail) {
    /** Whether the guarantee was kept. */
    public enum Status {
        /** The guarantee was kept. */
        KEPT,
        /** The guarantee was broken. */
        BROKEN
    }

    /** Returns a result with the status {@code KEPT} or {@code BROKEN}. */
    public static StepResult of(String step, boolean kept, String detail) {
        return new StepResult(step, kept ? Status.KEPT : Status.BROKEN, detail);
    }
}
