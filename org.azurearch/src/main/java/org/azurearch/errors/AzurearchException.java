package org.azurearch.errors;

import org.jspecify.annotations.Nullable;

/** Base class of the exceptions of azurearch: unchecked, with a stable error code. */
public class AzurearchException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode mCode;

    /**
     * Creates an exception.
     *
     * @param code the stable error code
     * @param message a human-readable description
     */
    public AzurearchException(ErrorCode code, String message) {
        super(message);
        mCode = code;
    }

    /**
     * Creates an exception with a cause.
     *
     * @param code the stable error code
     * @param message a human-readable description
     * @param cause the cause, or null
     */
    public AzurearchException(ErrorCode code, String message, @Nullable Throwable cause) {
        super(message, cause);
        mCode = code;
    }

    /** Returns the stable error code. */
    public ErrorCode code() {
        return mCode;
    }
}
