package org.azurearch.api;

import java.util.List;
import org.azurearch.errors.Problem;

/**
 * The result of {@link CheckCommand}.
 *
 * @param status whether the documents would be accepted
 * @param problems the problems found, sorted by file and line; empty when valid
 */
public record CheckResult(Status status, List<Problem> problems) {
    /** Whether the documents would be accepted. */
    public enum Status {
        /** Every site is valid. */
        VALID,
        /** At least one problem was found. */
        INVALID
    }

    /** Takes a copy of the problems. */
    public CheckResult {
        problems = List.copyOf(problems);
    }
}
