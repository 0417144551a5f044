package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpContent;
import org.azurearch.lib.Verdict;

/**
 * One attempt of a call: the request goes in here, the answer comes out at an {@link AnswerSink}.
 * Confined to one event loop.
 */
interface Exchange {
    /** Sends the request's head, or asks for permission to. */
    void start();

    /** Sends a part of the request's body; takes over the reference. */
    void body(HttpContent content);

    /** Sends what has been written. */
    void flush();

    /** Says whether more of the body can be taken without piling up. */
    boolean writable();

    /** Stops or resumes reading the answer. */
    void pauseAnswer(boolean paused);

    /**
     * Gives up. The sink hears nothing more.
     *
     * @return whether the request may have run
     */
    Verdict cancel();
}
