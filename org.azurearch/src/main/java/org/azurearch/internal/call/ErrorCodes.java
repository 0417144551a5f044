package org.azurearch.internal.call;

import java.util.HashMap;
import java.util.Map;
import org.azurearch.errors.ErrorCode;
import org.jspecify.annotations.Nullable;

/** Finds error codes by their stable text form. */
final class ErrorCodes {
    private static final Map<String, ErrorCode> BY_CODE = new HashMap<>();

    static {
        for (ErrorCode code : ErrorCode.values()) {
            BY_CODE.put(code.code(), code);
        }
    }

    private ErrorCodes() {}

    /** Returns the code, or null for none; one that is not known counts as a failed server. */
    static @Nullable ErrorCode fromCode(@Nullable String text) {
        return text == null ? null : BY_CODE.getOrDefault(text, ErrorCode.BACKEND_SERVER_FAILED);
    }
}
