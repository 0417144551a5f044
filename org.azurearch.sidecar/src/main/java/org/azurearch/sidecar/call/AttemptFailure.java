package org.azurearch.sidecar.call;

import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.Verdict;

/**
 * Why a sending brought no answer.
 *
 * @param verdict whether the request may have run
 * @param code the stable code
 * @param reachedBackend whether it reached a backend server, even if that one rejected it
 * @param retryAfterMillis when there is expected to be room; 0 if not known
 * @param detail what happened, for a person
 */
public record AttemptFailure(
        Verdict verdict,
        ErrorCode code,
        boolean reachedBackend,
        long retryAfterMillis,
        String detail) {
    /** A failure before the request reached a backend server. */
    public static AttemptFailure notSent(ErrorCode code, String detail) {
        return new AttemptFailure(Verdict.NOT_RUN, code, false, 0, detail);
    }

    /** A refusal for want of room. */
    public static AttemptFailure refused(long retryAfterMillis, String detail) {
        return new AttemptFailure(
                Verdict.NOT_RUN, ErrorCode.OVERLOADED, false, retryAfterMillis, detail);
    }

    /** The backend server said that it did not run the request. */
    public static AttemptFailure rejected(ErrorCode code, String detail) {
        return new AttemptFailure(Verdict.NOT_RUN, code, true, 0, detail);
    }

    /** The request was sent and its outcome is not known. */
    public static AttemptFailure unknown(ErrorCode code, String detail) {
        return new AttemptFailure(Verdict.MAY_HAVE_RUN, code, true, 0, detail);
    }
}
