package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import org.azurearch.call.CallFailure;

/**
 * Takes the answer of an {@link Exchange}: a head, then content up to the last one; or a failure,
 * which may come after the head.
 */
interface AnswerSink {
    /** Takes the head of the answer. */
    void answerHead(HttpResponse head);

    /** Takes a part of the answer's body, and its reference. */
    void answerBody(HttpContent content);

    /** All that has arrived has been handed over: what was written should go out. */
    void answerFlush();

    /** The exchange has failed; nothing more follows. */
    void failed(CallFailure failure);

    /** The exchange can take more of the request's body. */
    void requestWritable();
}
