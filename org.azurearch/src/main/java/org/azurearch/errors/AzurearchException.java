package org.azurearch.errors;

import org.jspecify.annotations.Nullable;

/** Base of all exceptions of the product: unchecked, with a stable code. */
public class AzurearchException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode mCode;

    /**
     * Creates an exception.
     *
     * @param code the stable code
     * @param message what happened, for a person
     */
    public AzurearchException(ErrorCode code, String message) {
        super(message);
        mCode = code;
    }

    /**
     * Creates an exception with a cause.
     *
     * @param code the stable code
     * @param message what happened, for a person
     * @param cause the cause
     */
    public AzurearchException(ErrorCode code, String message, @Nullable Throwable cause) {
        super(message, cause);
        mCode = code;
    }

    /** Returns the stable code. */
    public ErrorCode code() {
        return mCode;
    }
}
