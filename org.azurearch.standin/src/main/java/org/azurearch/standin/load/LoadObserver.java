package org.azurearch.standin.load;

/** Notified of the outcome of each attempt; called from several threads. */
@FunctionalInterface
public interface LoadObserver {
    /** Ignores all outcomes. */
    LoadObserver NONE = (target, kind, orderKey, attemptKey, outcome) -> {};

    /**
     * Called when an attempt has ended.
     *
     * @param target the target
     * @param kind the kind of request
     * @param orderKey the key shared by all attempts of the request
     * @param attemptKey the key of this attempt
     * @param outcome the outcome
     */
    void attemptEnded(
            LoadTarget target,
            RequestKind kind,
            String orderKey,
            String attemptKey,
            LoadOutcome outcome);
}
