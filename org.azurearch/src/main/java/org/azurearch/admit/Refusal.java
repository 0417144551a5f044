package org.azurearch.admit;

import org.azurearch.errors.ErrorCode;

/**
 * Why a call was not admitted. A refused call has not run.
 *
 * @param code the reason
 * @param retryAfterMillis the time after which a retry at this node may succeed; 0 for no advice
 */
public record Refusal(ErrorCode code, long retryAfterMillis) {}
