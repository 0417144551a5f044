package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and refuses what two parsers could read in two ways: both Content-Length and
 * Transfer-Encoding, repeated Content-Length, folded header lines and bare line feeds.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    /** Creates a decoder with the limits of {@link HttpLimits}. */
    StrictRequestDecoder() {
        super(HttpLimits.requestConfig());
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
