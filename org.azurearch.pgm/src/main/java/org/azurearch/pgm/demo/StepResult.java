package org.azurearch.pgm.demo;

/**
 * What came of a step.
 *
 * @param step what was done
 * @param status whether what is promised was kept
 * @param detail what happened
 */
public record StepResult(String step, Status status, String detail) {
    /** Whether what is promised was kept. */
    public enum Status {
        /** It was kept. */
        KEPT,
        /** It was broken. */
        BROKEN
    }

    /** Returns the result of a step whose promise was kept if a condition holds. */
    public static StepResult of(String step, boolean kept, String detail) {
        return new StepResult(step, kept ? Status.KEPT : Status.BROKEN, detail);
    }
}
