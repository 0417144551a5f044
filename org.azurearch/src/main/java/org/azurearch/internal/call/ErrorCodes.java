package org.azurearch.internal.call;

import java.util.HashMap;
import java.util.Map;
import org.azurearch.errors.ErrorCode;
import org.jspecify.annotations.Nullable;

/** Looks up error codes by their text form in headers. */
final class ErrorCodes {
    private static final Map<String, ErrorCode> BY_CODE = new HashMap<>();

    static {
        for (ErrorCode code : ErrorCode.values()) {
            BY_CODE.put(code.code(), code);
        }
    }

    private ErrorCodes() {}

    /**
     * Returns the code of a header's value, or null when there is no header. An unknown code is
     * treated as {@link ErrorCode#BACKEND_SERVER_FAILED}.
     */
    static @Nullable ErrorCode fromCode(@Nullable String text) {
        return text == null ? null : BY_CODE.getOrDefault(text, ErrorCode.BACKEND_SERVER_FAILED);
    }
}
