package org.azurearch.internal.call;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes requests and refuses ambiguous framing that could be used for request smuggling: both
 * Content-Length and Transfer-Encoding, repeated Content-Length, folded header lines and bare line
 * feeds.
 */
public final class StrictRequestDecoder extends HttpRequestDecoder {
    private final HeaderFoldDetector mFoldDetector = new HeaderFoldDetector();
    private boolean mInHead = true;
    private boolean mRefused;

    /** Creates a decoder with the limits of {@link HttpLimits}. */
    public StrictRequestDecoder() {
        super(HttpLimits.requestConfig());
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
            throws Exception {
        if (mRefused) {
            buffer.skipBytes(buffer.readableBytes());
        } else if (mInHead && mFoldDetector.findsFold(buffer)) {
            refuse(buffer, out);
        } else {
            int before = buffer.readerIndex();
            int decoded = out.size();
            super.decode(context, buffer, out);
            mFoldDetector.consumed(buffer.readerIndex() - before);
            trackHead(out.subList(decoded, out.size()));
        }
    }

    private void refuse(ByteBuf buffer, List<Object> out) {
        mRefused = true;
        buffer.skipBytes(buffer.readableBytes());
        HttpMessage message = createInvalidMessage();
        message.setDecoderResult(
                DecoderResult.failure(new IllegalArgumentException("folded header line")));
        out.add(message);
    }

    private void trackHead(List<Object> decoded) {
        for (Object message : decoded) {
            if (message instanceof HttpRequest) {
                mInHead = false;
            }
            if (message instanceof LastHttpContent) {
                mInHead = true;
                mFoldDetector.reset();
            }
        }
    }
}
