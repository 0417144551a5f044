package org.azurearch.sidecar.call;

import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.Verdict;

/**
 * Why an attempt ended without an answer.
 *
 * @param verdict whether the request may have run
 * @param code the error code
 * @param reachedBackend whether the request reached a backend server, even if that rejected it
 * @param retryAfterMillis how long until a slot is expected to be free; 0 if unknown
 * @param detail a description of the failure for people
 */
public record AttemptFailure(
        Verdict verdict,
        ErrorCode code,
        boolean reachedBackend,
        long retryAfterMillis,
        String detail) {
    /** Retry delay while a node shuts down; a restart takes about this long. */
    private static final long RESTART_RETRY_MILLIS = 600;

    /** A failure before the request reached a backend server. */
    public static AttemptFailure notSent(ErrorCode code, String detail) {
        return new AttemptFailure(Verdict.NOT_RUN, code, false, 0, detail);
    }

    /** A refusal because of overload. */
    public static AttemptFailure refused(long retryAfterMillis, String detail) {
        return new AttemptFailure(
                Verdict.NOT_RUN, ErrorCode.OVERLOADED, false, retryAfterMillis, detail);
    }

    /** A refusal because a node shuts down before the request could be run. */
    public static AttemptFailure stopping() {
        return new AttemptFailure(
                Verdict.NOT_RUN,
                ErrorCode.NOT_READY,
                false,
                RESTART_RETRY_MILLIS,
                "the node shuts down");
    }

    /** A refusal because backend servers crashed under requests like this one. */
    public static AttemptFailure suspect(long retryAfterMillis) {
        return new AttemptFailure(
                Verdict.NOT_RUN,
                ErrorCode.SUSPECT_REQUEST,
                false,
                retryAfterMillis,
                "several backend servers crashed under requests like this one");
    }

    /** A rejection by a backend server that states that it did not run the request. */
    public static AttemptFailure rejected(ErrorCode code, String detail) {
        return new AttemptFailure(Verdict.NOT_RUN, code, true, 0, detail);
    }

    /** A failure after the request was sent; its outcome is unknown. */
    public static AttemptFailure unknown(ErrorCode code, String detail) {
        return new AttemptFailure(Verdict.MAY_HAVE_RUN, code, true, 0, detail);
    }
}
