package org.azurearch.admit;

import org.jspecify.annotations.Nullable;

/**
 * The first decision on a call.
 *
 * @param status what was decided
 * @param refusal the reason when it was refused, else null
 */
public record AdmissionDecision(Status status, @Nullable Refusal refusal) {
    /** What was decided. */
    public enum Status {
        /** The call holds a slot and may be sent. */
        ADMITTED,
        /** The call waits; an {@link AdmissionEffect} follows. */
        QUEUED,
        /** The call is refused. */
        REFUSED
    }

    /** The call holds a slot. */
    public static final AdmissionDecision ADMITTED = new AdmissionDecision(Status.ADMITTED, null);

    /** The call waits. */
    public static final AdmissionDecision QUEUED = new AdmissionDecision(Status.QUEUED, null);

    /** Returns a refusal. */
    public static AdmissionDecision refused(Refusal refusal) {
        return new AdmissionDecision(Status.REFUSED, refusal);
    }
}
