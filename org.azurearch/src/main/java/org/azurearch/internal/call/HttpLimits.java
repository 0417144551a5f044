package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** Limits on HTTP messages. */
public final class HttpLimits {
    private static final int MAX_INITIAL_LINE_BYTES = 8 * 1024;
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    private static final HttpHeadersFactory DISCARDING =
            new HttpHeadersFactory() {
                @Override
                public HttpHeaders newHeaders() {
                    return new DiscardedTrailers();
                }

                @Override
                public HttpHeaders newEmptyHeaders() {
                    return new DiscardedTrailers();
                }
            };

    private HttpLimits() {}

    /** Returns the configuration of the request decoder. */
    static HttpDecoderConfig requestConfig() {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setAllowDuplicateContentLengths(false)
                .setTrailersFactory(DISCARDING)
                .setStrictLineParsing(true);
    }

    /** Returns the configuration of the answer decoder. */
    public static HttpDecoderConfig answerConfig() {
        return requestConfig();
    }
}
