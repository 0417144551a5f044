package org.azurearch.sidecar.internal.call;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import org.jspecify.annotations.Nullable;

/**
 * Collects whole requests. Writes nothing by itself while answers of earlier requests are pending:
 * an oversized request is passed on without its content and marked, so that it is refused in its
 * turn.
 */
final class RequestAggregator extends HttpObjectAggregator {
    private final CallerConnection mConnection;
    private final int mMaxBytes;

    RequestAggregator(int maxBytes, CallerConnection connection) {
        super(maxBytes);
        mMaxBytes = maxBytes;
        mConnection = connection;
    }

    @Override
    protected @Nullable Object newContinueResponse(
            HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
        boolean oversized = isContentLengthInvalid(start, maxContentLength);
        return mConnection.idle() && !oversized
                ? super.newContinueResponse(start, maxContentLength, pipeline)
                : null;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        HttpRequest head = (HttpRequest) oversized;
        FullHttpRequest marked =
                new DefaultFullHttpRequest(
                        head.protocolVersion(),
                        head.method(),
                        head.uri(),
                        Unpooled.EMPTY_BUFFER,
                        head.headers(),
                        EmptyHttpHeaders.INSTANCE);
        marked.setDecoderResult(
                DecoderResult.failure(
                        new TooLongFrameException("body over " + mMaxBytes + " bytes")));
        context.fireChannelRead(marked);
    }
}
