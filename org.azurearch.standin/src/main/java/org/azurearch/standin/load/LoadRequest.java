package org.azurearch.standin.load;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Arrays;
import org.azurearch.standin.backend.EchoAnswer;

/**
 * One attempt of a request.
 *
 * @param kind the kind
 * @param target the target it goes to
 * @param number the index of the request in the run, counted from 0; retries keep it
 * @param attempt 0 for the first attempt
 * @param dueNanos when the request was due, by {@link System#nanoTime()}
 */
record LoadRequest(RequestKind kind, LoadTarget target, long number, int attempt, long dueNanos) {
    private static final byte BODY_FILLER = 'b';

    /** Returns the key shared by all attempts of the request. */
    String orderKey(long seed) {
        return "order-" + seed + "-" + target.name() + "-" + number;
    }

    /** Returns the key of this attempt. */
    String attemptKey(long seed) {
        return orderKey(seed) + "-" + attempt;
    }

    LoadRequest retry() {
        return new LoadRequest(kind, target, number, attempt + 1, dueNanos);
    }

    byte[] body() {
        byte[] body = new byte[kind.bodyBytes()];
        Arrays.fill(body, BODY_FILLER);
        return body;
    }

    /** Returns the answer that the caller must receive. */
    byte[] expectedAnswer(long seed) {
        return EchoAnswer.of(attemptKey(seed), body(), kind.answerBytes());
    }

    FullHttpRequest httpRequest(long seed) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(kind.method()),
                        kind.path(),
                        Unpooled.wrappedBuffer(body()));
        request.headers().set(HttpHeaderNames.HOST, "bench");
        request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, kind.bodyBytes());
        request.headers().set(EchoAnswer.NONCE_HEADER, attemptKey(seed));
        request.headers().set("run-key", attemptKey(seed));
        if (kind.answerBytes() > 0) {
            request.headers().setInt(EchoAnswer.ANSWER_BYTES_HEADER, kind.answerBytes());
        }
        if (!kind.idempotent()) {
            request.headers().set("x-order-key", orderKey(seed));
        }
        if (kind.keyed()) {
            request.headers().set("idempotency-key", orderKey(seed));
        }
        kind.headers().forEach((name, value) -> request.headers().set(name, value));
        return request;
    }
}
