package org.azurearch.errors;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when a document or settings are refused; it names every problem found. */
public class InvalidInputException extends AzurearchException {
    private static final long serialVersionUID = 1L;

    private final transient List<Problem> mProblems;

    /**
     * Creates an exception.
     *
     * @param problems the problems, at least one; the code of the first is the code of the
     *     exception
     */
    public InvalidInputException(List<Problem> problems) {
        super(
                problems.get(0).code(),
                problems.stream().map(Problem::text).collect(Collectors.joining("\n")));
        mProblems = List.copyOf(problems);
    }

    /** Returns the problems, at least one. */
    public List<Problem> problems() {
        return mProblems;
    }
}
