package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Locale;
import org.jspecify.annotations.Nullable;

/** Validates the head of a request beyond the checks of the decoder. */
public final class RequestCheck {
    private static final String ENCODED_DOT = "%2e";

    private RequestCheck() {}

    /** Returns the reason to refuse a request, or null if it is valid. */
    public static @Nullable String problem(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            return "malformed request: " + request.decoderResult().cause().getMessage();
        }
        if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            return "HTTP/1.1 is required";
        }
        if (request.method().equals(HttpMethod.CONNECT) || !isToken(request.method().name())) {
            return "the method is not supported";
        }
        String framing = framingProblem(request.headers());
        return framing != null ? framing : targetProblem(request.uri());
    }

    private static @Nullable String framingProblem(HttpHeaders headers) {
        if (headers.getAll(HttpHeaderNames.HOST).size() != 1) {
            return "exactly one Host header is required";
        }
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (!codings.isEmpty()) {
            boolean chunked =
                    codings.size() == 1
                            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
            if (!chunked) {
                return "the only supported transfer coding is chunked";
            }
            if (headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
                return "both Content-Length and Transfer-Encoding";
            }
        }
        String length = headers.get(HttpHeaderNames.CONTENT_LENGTH);
        if (length != null && !isDigits(length)) {
            return "malformed Content-Length";
        }
        return HeaderRules.connectionNamesProtected(headers)
                ? "the Connection header names a protected header"
                : null;
    }

    private static @Nullable String targetProblem(String target) {
        if (!target.startsWith("/")) {
            return "the target must be an absolute path";
        }
        for (int i = 0; i < target.length(); i++) {
            char c = target.charAt(i);
            if (c <= ' ' || c >= '\u007f' || c == '\\' || c == '#') {
                return "the target contains a character that is not allowed";
            }
        }
        return hasDotSegment(pathOf(target))
                ? "the path contains a dot segment or an empty segment"
                : null;
    }

    /** Returns the path of a request target, without the query. */
    static String pathOf(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    private static boolean hasDotSegment(String path) {
        String decoded = path;
        if (path.indexOf('%') >= 0) {
            decoded = path.toLowerCase(Locale.ROOT).replace(ENCODED_DOT, ".").replace("%2f", "/");
        }
        return decoded.contains("//")
                || decoded.contains("/./")
                || decoded.contains("/../")
                || decoded.endsWith("/.")
                || decoded.endsWith("/..");
    }

    private static boolean isDigits(String text) {
        return !text.isEmpty() && text.chars().allMatch(c -> c >= '0' && c <= '9');
    }

    private static boolean isToken(String method) {
        return method.chars().allMatch(c -> c >= 'A' && c <= 'Z');
    }
}
