package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpContent;
import org.azurearch.lib.Verdict;

/** Sends one request and passes its answer to an {@link AnswerSink}. Confined to one event loop. */
interface Exchange {
    /** Starts the exchange: sends the request's head as soon as that is possible. */
    void start();

    /** Sends a part of the request's body; takes over the reference. */
    void body(HttpContent content);

    /** Flushes what has been written. */
    void flush();

    /** Returns whether more of the body can be written without being buffered. */
    boolean writable();

    /** Pauses or resumes reading the answer. */
    void pauseAnswer(boolean paused);

    /**
     * Cancels the exchange. The sink is not called any more.
     *
     * @return the verdict on whether the request may have run
     */
    Verdict cancel();
}
