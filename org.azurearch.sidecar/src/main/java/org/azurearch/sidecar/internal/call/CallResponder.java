package org.azurearch.sidecar.internal.call;

import org.azurearch.errors.ErrorCode;
import org.azurearch.sidecar.call.BackendAnswer;

/** Sends the outcome of a call to its caller. */
interface CallResponder {
    /** Forwards a backend server's answer. */
    void answer(BackendAnswer answer);

    /** Answers with an error of this node. */
    void refuse(int status, ErrorCode code, long retryAfterMillis);
}
