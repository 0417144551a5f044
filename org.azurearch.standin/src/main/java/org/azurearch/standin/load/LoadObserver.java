package org.azurearch.standin.load;

/** Told of the end of each sending; called on several threads. */
@FunctionalInterface
public interface LoadObserver {
    /** Ignores everything. */
    LoadObserver NONE = (target, kind, orderKey, attemptKey, outcome) -> {};

    /**
     * Takes the end of a sending.
     *
     * @param target the target
     * @param kind the kind of request
     * @param orderKey the key that all sendings of the request share
     * @param attemptKey the key of this sending alone
     * @param outcome how it ended
     */
    void attemptEnded(
            LoadTarget target,
            RequestKind kind,
            String orderKey,
            String attemptKey,
            LoadOutcome outcome);
}
