package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes answers, and leaves out the body of answers to HEAD. */
final class AnswerEncoder extends HttpResponseEncoder {
    private boolean mWithoutBody;

    /** Says whether the next answer has no body, whatever its headers say. */
    void withoutBody(boolean withoutBody) {
        mWithoutBody = withoutBody;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse head) {
        return mWithoutBody || super.isContentAlwaysEmpty(head);
    }
}
