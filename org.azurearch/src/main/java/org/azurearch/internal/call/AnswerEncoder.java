package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes answers; omits the body of an answer to HEAD. */
final class AnswerEncoder extends HttpResponseEncoder {
    private boolean mWithoutBody;

    /** Sets whether the next answer is encoded without a body, regardless of its headers. */
    void withoutBody(boolean withoutBody) {
        mWithoutBody = withoutBody;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse head) {
        return mWithoutBody || super.isContentAlwaysEmpty(head);
    }
}
