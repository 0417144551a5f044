package org.azurearch.sidecar.rollout;

/** The decision on a roll-out. A later one in this order replaces an earlier one. */
public enum Verdict {
    /** The version gets a share of the requests. */
    RUNNING,
    /** The version gets no requests any more; the store does not have the decision yet. */
    HALTED,
    /** The version was rolled back. */
    ROLLED_BACK,
    /** The version serves all requests, and the earlier one may stop. */
    COMPLETED;

    /** Returns whether the decision is final and in the store. */
    public boolean isFinal() {
        return this == ROLLED_BACK || this == COMPLETED;
    }
}
