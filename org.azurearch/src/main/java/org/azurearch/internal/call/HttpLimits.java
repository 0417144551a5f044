package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpDecoderConfig;

/** Limits on HTTP messages. */
final class HttpLimits {
    private static final int MAX_INITIAL_LINE_BYTES = 8 * 1024;
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    private HttpLimits() {}

    /** Returns the configuration of the request decoder. */
    static HttpDecoderConfig requestConfig() {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setAllowDuplicateContentLengths(false)
                .setStrictLineParsing(true);
    }

    /** Returns the configuration of the answer decoder. */
    static HttpDecoderConfig answerConfig() {
        return requestConfig();
    }
}
