package org.azurearch.admin;

import org.azurearch.errors.Problem;

/**
 * A problem with a document.
 *
 * @param code the stable error code
 * @param file the file
 * @param line the line, 0 for the file as a whole
 * @param message what is wrong
 */
public record ProblemReport(String code, String file, int line, String message) {
    /** Returns the report of a problem. */
    public static ProblemReport of(Problem problem) {
        return new ProblemReport(
                problem.code().code(),
                problem.location().file(),
                problem.location().line(),
                problem.message());
    }

    /** Returns {@code file:line: message [code]}. */
    public String text() {
        String place = line > 0 ? file + ":" + line : file;
        return place + ": " + message + " [" + code + "]";
    }
}
