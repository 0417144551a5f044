package org.azurearch.errors;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown if a document or settings are invalid; lists all problems found. */
public class InvalidInputException extends AzurearchException {
    private static final long serialVersionUID = 1L;

    private final transient List<Problem> mProblems;

    /**
     * Creates an exception.
     *
     * @param problems the problems, at least one; the exception has the code of the first
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
