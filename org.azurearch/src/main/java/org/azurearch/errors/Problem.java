package org.azurearch.errors;

/**
 * A problem in a document or in settings.
 *
 * @param code the stable error code of the violated rule
 * @param location the location of the problem
 * @param message a human-readable description: what is wrong and what was expected
 */
public record Problem(ErrorCode code, SourceLocation location, String message) {
    /** Returns {@code file:line: message [code]}. */
    public String text() {
        return location.name() + ": " + message + " [" + code.code() + "]";
    }
}
