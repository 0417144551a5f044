package org.azurearch.internal.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.azurearch.call.StoredOutcome;

/**
 * Records an answer while it is forwarded, with a body up to a limit, so that it can be replayed.
 */
final class OutcomeRecorder {
    private static final int MAX_BODY_BYTES = 16 * 1024;

    private final int mStatus;
    private final List<Map.Entry<String, String>> mHeaders;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private boolean mTooLarge;

    /** Creates a recorder for an answer with the given head. */
    OutcomeRecorder(HttpResponse head) {
        mStatus = head.status().code();
        mHeaders = new ArrayList<>(head.headers().entries());
    }

    /** Records a part of the body. */
    void body(ByteBuf content) {
        int bytes = content.readableBytes();
        mTooLarge |= mBody.size() + bytes > MAX_BODY_BYTES;
        if (!mTooLarge) {
            mBody.writeBytes(ByteBufUtil.getBytes(content));
        }
    }

    /** Returns the recorded outcome, to be called after the end of the answer. */
    StoredOutcome outcome() {
        StoredOutcome outcome =
                new StoredOutcome(mStatus, mHeaders, true, mBody.toByteArray(), null);
        return mTooLarge ? outcome.withoutBody() : outcome;
    }

    /** Returns the head for replaying an outcome whose body is stored. */
    static HttpResponse head(StoredOutcome outcome) {
        HttpResponse head =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(outcome.status()));
        outcome.headers().forEach(header -> head.headers().add(header.getKey(), header.getValue()));
        head.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, outcome.body().length);
        return head;
    }
}
