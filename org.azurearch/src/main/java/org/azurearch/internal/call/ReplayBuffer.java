package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpContent;
import java.util.ArrayList;
import java.util.List;

/** Keeps the request's body, up to a limit, until it is sure that no attempt needs it again. */
final class ReplayBuffer {
    private static final int MAX_BYTES = 64 * 1024;
    private static final int READ_LIMIT_BYTES = 16 * 1024;

    private final List<HttpContent> mParts = new ArrayList<>(2);
    private int mBytes;
    private boolean mReplayable = true;

    /**
     * Keeps a reference to a part of the body; the caller keeps its own.
     *
     * @param unsent whether the part has to be kept, since it has not been sent at all
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

    /** Says whether so much is kept that no more should be read before some is sent. */
    boolean aboveReadLimit() {
        return mBytes > READ_LIMIT_BYTES;
    }

    /** Says whether anything is kept. */
    boolean hasContent() {
        return !mParts.isEmpty();
    }

    /** Says whether all that has arrived so far can be sent again. */
    boolean replayable() {
        return mReplayable;
    }

    /** Sends all that is kept. */
    void replay(Exchange exchange) {
        for (HttpContent part : mParts) {
            exchange.body(part.retainedDuplicate());
        }
    }

    /** Lets go of all that is kept; nothing can be sent again from now on. */
    void discard() {
        mReplayable = false;
        mParts.forEach(HttpContent::release);
        mParts.clear();
    }
}
