package org.azurearch.admit;

import org.azurearch.errors.ErrorCode;

/**
 * Why a call was not admitted. A refused call has not run.
 *
 * @param code the reason
 * @param retryAfterMillis when it makes sense to try here again
 */
public record Refusal(ErrorCode code, long retryAfterMillis) {}
