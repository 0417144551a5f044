package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.azurearch.call.CallHeaders;
import org.jspecify.annotations.Nullable;

/** Reads and writes the headers with the delay after which to retry a refused call. */
final class RetryAfter {
    private static final long MILLIS_PER_SECOND = 1_000L;
    private static final long MAX_MILLIS = 3_600_000L;

    private RetryAfter() {}

    /** Returns the delay given by the headers, in milliseconds; 0 if there is none. */
    static long millis(HttpHeaders headers) {
        long azurearchMillis = parseCapped(headers.get(CallHeaders.RETRY_AFTER_MILLIS));
        return azurearchMillis > 0
                ? azurearchMillis
                : parseCapped(headers.get(HttpHeaderNames.RETRY_AFTER)) * MILLIS_PER_SECOND;
    }

    /** Writes the delay to the headers unless it is 0. */
    static void write(HttpHeaders headers, long millis) {
        if (millis > 0) {
            headers.set(CallHeaders.RETRY_AFTER_MILLIS, millis);
            long seconds = (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            headers.set(HttpHeaderNames.RETRY_AFTER, seconds);
        }
    }

    private static long parseCapped(@Nullable String text) {
        if (text == null) {
            return 0;
        }
        try {
            return Math.max(0, Math.min(MAX_MILLIS, Long.parseLong(text.trim())));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
