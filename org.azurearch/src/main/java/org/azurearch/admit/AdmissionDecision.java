package org.azurearch.admit;

import org.jspecify.annotations.Nullable;

/**
 * The immediate decision on a new call.
 *
 * @param status the decision
 * @param refusal the reason if the call is refused, else null
 */
public record AdmissionDecision(Status status, @Nullable Refusal refusal) {
    /** The possible decisions. */
    public enum Status {
        /** The call holds a slot and may be sent. */
        ADMITTED,
        /** The call is queued; an {@link AdmissionEffect} follows. */
        QUEUED,
        /** The call is refused. */
        REFUSED
    }

    /** The decision for a call that gets a slot. */
    public static final AdmissionDecision ADMITTED = new AdmissionDecision(Status.ADMITTED, null);

    /** The decision for a call that is queued. */
    public static final AdmissionDecision QUEUED = new AdmissionDecision(Status.QUEUED, null);

    /** Creates the decision for a refused call. */
    public static AdmissionDecision refused(Refusal refusal) {
        return new AdmissionDecision(Status.REFUSED, refusal);
    }
}
