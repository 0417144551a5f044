package org.azurearch.errors;

import java.util.concurrent.CompletionException;

/** What stages of futures failed with. */
public final class Completions {
    private Completions() {}

    /**
     * Returns the failure that a stage was given, without the wrapping that a stage before it adds.
     *
     * @param failure what a stage was given
     */
    public static Throwable unwrap(Throwable failure) {
        Throwable cause = failure.getCause();
        return failure instanceof CompletionException && cause != null ? cause : failure;
    }
}
