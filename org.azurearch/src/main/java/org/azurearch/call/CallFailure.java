package org.azurearch.call;

import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.Verdict;

/**
 * Why a call got no answer from a backend server.
 *
 * @param verdict whether the request may have run
 * @param code the stable error code
 * @param detail human-readable description
 * @param retryAfterMillis the time after which the caller may retry; 0 for no advice
 */
public record CallFailure(Verdict verdict, ErrorCode code, String detail, long retryAfterMillis) {
    /** Creates a failure without advice on when to retry. */
    public static CallFailure of(Verdict verdict, ErrorCode code, String detail) {
        return new CallFailure(verdict, code, detail, 0);
    }

    /** Returns the same failure with another verdict. */
    public CallFailure withVerdict(Verdict other) {
        return new CallFailure(other, code, detail, retryAfterMillis);
    }

    /** Creates a failure of a request that has not run. */
    public static CallFailure notRun(ErrorCode code, String detail) {
        return of(Verdict.NOT_RUN, code, detail);
    }
}
