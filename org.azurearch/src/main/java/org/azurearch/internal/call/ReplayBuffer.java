package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpContent;
import java.util.ArrayList;
import java.util.List;

/** Buffers a request's body, up to a limit, while a retry may need it. */
final class ReplayBuffer {
    private static final int MAX_BYTES = 64 * 1024;
    private static final int READ_LIMIT_BYTES = 16 * 1024;

    private final List<HttpContent> mParts = new ArrayList<>(2);
    private int mBytes;
    private boolean mReplayable = true;

    /**
     * Adds a part of the body. Retains the content; the caller keeps its reference.
     *
     * @param unsent whether no attempt has sent the part yet, so that it is kept beyond the limit
     */
    void add(HttpContent content, boolean unsent) {
        if (!mReplayable) {
            return;
        }
        mBytes += content.content().readableBytes();
        if (mBytes > MAX_BYTES && !unsent) {
            discard();
        } else {
            mParts.add(content.retainedDuplicate());
        }
    }

    /** Returns whether reading should pause until the buffered content has been sent. */
    boolean aboveReadLimit() {
        return mBytes > READ_LIMIT_BYTES;
    }

    /** Returns whether the buffer holds any content. */
    boolean hasContent() {
        return !mParts.isEmpty();
    }

    /** Returns whether the buffer holds all of the body that has arrived so far. */
    boolean replayable() {
        return mReplayable;
    }

    /** Sends the buffered content. */
    void replay(Exchange exchange) {
        for (HttpContent part : mParts) {
            exchange.body(part.retainedDuplicate());
        }
    }

    /** Releases the buffered content and stops buffering; no retry is possible afterwards. */
    void discard() {
        mReplayable = false;
        mParts.forEach(HttpContent::release);
        mParts.clear();
    }
}
