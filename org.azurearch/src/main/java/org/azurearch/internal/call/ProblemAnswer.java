package org.azurearch.internal.call;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.azurearch.call.CallFailure;
import org.azurearch.call.CallHeaders;

/** Builds the problem answers (RFC 9457) for failed calls. */
final class ProblemAnswer {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String MEDIA_TYPE = "application/problem+json";

    /** The members of the JSON body. */
    private record Body(
            String type,
            String title,
            int status,
            String detail,
            String code,
            String verdict,
            long retryAfterMillis) {}

    private ProblemAnswer() {}

    /** Returns the head of the answer for a body of the given length. */
    static HttpResponse head(CallFailure failure, int bodyBytes) {
        HttpResponse head =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(failure.code().httpStatus()));
        head.headers().set(HttpHeaderNames.CONTENT_TYPE, MEDIA_TYPE);
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
        head.headers().set(CallHeaders.VERDICT, failure.verdict().headerValue());
        head.headers().set(CallHeaders.CODE, failure.code().code());
        RetryAfter.write(head.headers(), failure.retryAfterMillis());
        return head;
    }

    /** Returns the body of the answer. */
    static byte[] body(CallFailure failure) {
        Body body =
                new Body(
                        "about:blank",
                        HttpResponseStatus.valueOf(failure.code().httpStatus()).reasonPhrase(),
                        failure.code().httpStatus(),
                        failure.detail(),
                        failure.code().code(),
                        failure.verdict().headerValue(),
                        failure.retryAfterMillis());
        try {
            return JSON.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialise a problem answer to JSON", e);
        }
    }
}
