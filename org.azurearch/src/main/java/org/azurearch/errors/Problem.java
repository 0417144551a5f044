package org.azurearch.errors;

/**
 * One thing that is wrong with a document or with settings.
 *
 * @param code the stable code, which names the rule
 * @param location where it is
 * @param message what is wrong and what was expected, for a person
 */
public record Problem(ErrorCode code, SourceLocation location, String message) {
    /** Returns {@code file:line: message [code]}. */
    public String text() {
        return location.name() + ": " + message + " [" + code.code() + "]";
    }
}
