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
 * One sending of a request.
 *
 * @param kind the kind
 * @param target the target it goes to
 * @param number counts the requests of a run from 0; resends keep it
 * @param attempt 0 for the first sending
 * @param dueNanos when it was due, by {@link System#nanoTime()}
 */
record LoadRequest(RequestKind kind, LoadTarget target, long number, int attempt, long dueNanos) {
    private static final byte BODY_FILLER = 'b';

    /** Returns the key that all sendings of the request share. */
    String orderKey(long seed) {
        return "order-" + seed + "-" + target.name() + "-" + number;
    }

    /** Returns the key of this sending alone. */
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

    /** Returns the answer that a caller must get. */
    byte[] expectedAnswer(long seed) {
        return EchoAnswer.of(attemptKey(seed), body(), kind.answerBytes());
    }

    FullHttpRequest httpRequest(long seed) {
        FullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(kind.method()),
                        kind.path(),
                        Unpooled.wrappedBuffer(body()));
        message.headers().set(HttpHeaderNames.HOST, "bench");
        message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, kind.bodyBytes());
        message.headers().set(EchoAnswer.NONCE_HEADER, attemptKey(seed));
        message.headers().set("run-key", attemptKey(seed));
        if (kind.answerBytes() > 0) {
            message.headers().setInt(EchoAnswer.ANSWER_BYTES_HEADER, kind.answerBytes());
        }
        if (!kind.idempotent()) {
            message.headers().set("x-order-key", orderKey(seed));
        }
        if (kind.keyed()) {
            message.headers().set("idempotency-key", orderKey(seed));
        }
        kind.headers().forEach((name, value) -> message.headers().set(name, value));
        return message;
    }
}
