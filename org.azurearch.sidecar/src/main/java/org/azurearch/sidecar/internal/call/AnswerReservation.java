package org.azurearch.sidecar.internal.call;

import org.azurearch.sidecar.admit.LinkLoad;
import org.jspecify.annotations.Nullable;

/**
 * What is reserved for the answer to a call, or why the call is refused.
 *
 * @param bytes the memory, in bytes
 * @param awaited the answer on the link of this VM; null if it is not counted
 * @param retryMillis when a refused call may be sent again, in milliseconds
 * @param refusal why the call is refused; null if it is not
 */
record AnswerReservation(
        double bytes,
        LinkLoad.@Nullable Awaited awaited,
        long retryMillis,
        @Nullable String refusal) {
    /** Nothing is reserved. */
    static final AnswerReservation NONE = new AnswerReservation(0, null, 0, null);

    /** Returns the refusal of a call. */
    static AnswerReservation refused(long retryMillis, String reason) {
        return new AnswerReservation(0, null, retryMillis, reason);
    }
}
