package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import org.azurearch.call.CallFailure;

/**
 * Receives the answer of an {@link Exchange}: the head, then the body up to its last part, or a
 * failure at any point in between.
 */
interface AnswerSink {
    /** Handles the head of the answer. */
    void answerHead(HttpResponse head);

    /** Handles a part of the answer's body and takes over its reference. */
    void answerBody(HttpContent content);

    /** Flushes what was written: everything received so far has been passed on. */
    void answerFlush();

    /** Handles the failure of the exchange; no further call follows. */
    void failed(CallFailure failure);

    /** Handles that the exchange accepts more of the request's body. */
    void requestWritable();
}
