package org.azurearch.internal.call;

import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * The {@link HopHeaders#HOME} header of a call that is forwarded to its home node, which decides
 * whether the request may run.
 *
 * @param callId an ID that the home node repeats in its answer
 * @param deadlineMillis the remaining time for the call
 * @param context the context of the call
 * @param ticket the ticket, or null when the home node has to claim the request's key
 */
record HomeRequest(long callId, long deadlineMillis, CallContext context, @Nullable String ticket) {
    private static final String SEPARATOR = ";";
    private static final int PARTS = 4;

    /**
     * Parses the header's value.
     *
     * @throws AzurearchException with {@link ErrorCode#BAD_REQUEST} if it is malformed
     */
    static HomeRequest fromString(String text) {
        String[] parts = text.split(SEPARATOR, -1);
        if (parts.length != PARTS) {
            throw new AzurearchException(ErrorCode.BAD_REQUEST, "malformed home header");
        }
        try {
            int next = 0;
            return new HomeRequest(
                    Long.parseLong(parts[next++]),
                    Long.parseLong(parts[next++]),
                    CallContext.fromUnsignedText(parts[next++]),
                    parts[next].isEmpty() ? null : parts[next]);
        } catch (NumberFormatException e) {
            throw new AzurearchException(ErrorCode.BAD_REQUEST, "malformed home header", e);
        }
    }

    /** Returns the header's value. */
    String text() {
        return String.join(
                SEPARATOR,
                Long.toString(callId),
                Long.toString(deadlineMillis),
                context.unsignedText(),
                ticket == null ? "" : ticket);
    }
}
