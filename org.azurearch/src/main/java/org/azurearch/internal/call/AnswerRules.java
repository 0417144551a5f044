package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What an answer of HTTP/1.1 is, for all readers of answers. Anything else belongs to no request
 * and is never passed on.
 */
public final class AnswerRules {
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;

    /** Digits of a length that fits into a long. */
    private static final int MAX_LENGTH_DIGITS = 18;

    private AnswerRules() {}

    /** Returns whether a number is a status code (RFC 9110, section 15). */
    public static boolean validStatus(int status) {
        return status >= MIN_STATUS && status <= MAX_STATUS;
    }

    /**
     * Returns why a final answer is not valid, or null if it is.
     *
     * @param status the status code
     * @param headers alternating names and values
     */
    public static @Nullable String problem(int status, List<String> headers) {
        if (!validStatus(status) || status < HttpResponseStatus.OK.code()) {
            return "status " + status;
        }
        if (headers.size() % 2 != 0) {
            return "a header without a value";
        }
        for (int i = 0; i < headers.size(); i += 2) {
            String name = headers.get(i);
            if (name.isEmpty() || !name.chars().allMatch(HeadChecker::isToken)) {
                return "a header name that is not a token";
            }
            if (!headers.get(i + 1).chars().allMatch(HeadChecker::isText)) {
                return "a control character in a header value";
            }
        }
        return null;
    }

    /**
     * Returns why it is not certain where the body of an answer ends (RFC 9112, section 6), or null
     * if it is.
     *
     * @param head the head of the answer
     */
    static @Nullable String framingProblem(HttpResponse head) {
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        List<String> lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
        if (!codings.isEmpty()) {
            return codingProblem(head, codings, !lengths.isEmpty());
        }
        if (lengths.size() > 1 || !lengths.isEmpty() && !isLength(lengths.get(0))) {
            return "malformed Content-Length";
        }
        boolean empty = lengths.isEmpty() || Long.parseLong(lengths.get(0)) == 0;
        return withoutBody(head) && !empty ? "a body with status " + head.status().code() : null;
    }

    private static @Nullable String codingProblem(
            HttpResponse head, List<String> codings, boolean hasLength) {
        boolean chunked =
                codings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
        if (!chunked || !head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            return "the only supported transfer coding is chunked";
        }
        if (hasLength) {
            return "both Content-Length and Transfer-Encoding";
        }
        return withoutBody(head) ? "a body with status " + head.status().code() : null;
    }

    /** Returns whether an answer with the status never has a body, to whichever request. */
    private static boolean withoutBody(HttpResponse head) {
        return head.status().codeClass() == HttpStatusClass.INFORMATIONAL
                || head.status().code() == HttpResponseStatus.NO_CONTENT.code();
    }

    private static boolean isLength(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_LENGTH_DIGITS
                && text.chars().allMatch(c -> c >= '0' && c <= '9');
    }
}
