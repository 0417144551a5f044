package org.azurearch.errors;

import java.util.concurrent.CompletionException;

/** Helpers for failures of completion stages. */
public final class Completions {
    private Completions() {}

    /**
     * Returns the original failure without the {@link CompletionException} that an earlier stage
     * may have wrapped it in.
     *
     * @param failure the failure passed to a stage
     */
    public static Throwable unwrap(Throwable failure) {
        Throwable cause = failure.getCause();
        return failure instanceof CompletionException && cause != null ? cause : failure;
    }
}
