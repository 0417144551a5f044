package org.azurearch.internal.call;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decodes requests and refuses those that are not valid by the grammar or whose framing is
 * ambiguous, which could be used for request smuggling: both Content-Length and Transfer-Encoding,
 * repeated Content-Length, folded header lines and bare line feeds.
 *
 * <p>Accounts for the memory of each request, which is marked with {@link RequestMemoryException}
 * if there is none. What follows a refused request on its connection is dropped. The receiver of a
 * request gives back its memory with {@link MeteredHeaders#release} once it has ended; the decoder
 * does so for a request that is still being read when the connection is closed.
 */
public final class StrictRequestDecoder extends HttpRequestDecoder {
    /** Memory of a request besides its header lines. */
    private static final int REQUEST_BYTES = 1_024;

    /** Copies of the target of a request. */
    private static final int TARGET_COPIES = 4;

    private final MeteredHeadersFactory mHeaders;
    private final HeadChecker mChecker = new HeadChecker(HeadChecker.Kind.REQUEST);
    private long mHeads;
    private boolean mInHead = true;
    private boolean mRefused;

    /**
     * Creates a decoder with the limits of {@link HttpLimits}.
     *
     * @param memory bounds the memory of all requests
     */
    public StrictRequestDecoder(RequestMemory memory) {
        this(new MeteredHeadersFactory(memory));
    }

    private StrictRequestDecoder(MeteredHeadersFactory headers) {
        super(HttpLimits.requestConfig().setHeadersFactory(headers));
        mHeaders = headers;
    }

    /** Returns whether the head of a request has arrived in part. */
    public boolean readingHead() {
        return mInHead && !mRefused && mChecker.withinHead();
    }

    /** Returns the number of heads that have arrived as a whole. */
    public long heads() {
        return mHeads;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        super.channelInactive(context);
        mHeaders.release();
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
            throws Exception {
        if (mRefused) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        String problem = mInHead ? mChecker.problem(buffer) : null;
        if (problem != null) {
            refuse(buffer, problem, out);
        } else {
            int before = buffer.readerIndex();
            int decoded = out.size();
            super.decode(context, buffer, out);
            mChecker.consumed(buffer.readerIndex() - before);
            trackHead(out.subList(decoded, out.size()));
        }
    }

    private void refuse(ByteBuf buffer, String problem, List<Object> out) {
        mRefused = true;
        buffer.skipBytes(buffer.readableBytes());
        mHeaders.release();
        HttpMessage message = createInvalidMessage();
        message.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(problem)));
        out.add(message);
    }

    private void trackHead(List<Object> decoded) {
        for (Object message : decoded) {
            if (message instanceof HttpRequest request) {
                mInHead = false;
                mHeads++;
                account(request);
            }
            if (message instanceof LastHttpContent) {
                mInHead = true;
                mChecker.reset();
                mHeaders.handOver();
            }
        }
    }

    private void account(HttpRequest request) {
        RequestMemory.Lease lease = MeteredHeaders.leaseOf(request);
        long bytes = REQUEST_BYTES + (long) TARGET_COPIES * request.uri().length();
        if (request.decoderResult().isSuccess() && lease != null && !lease.tryAdd(bytes)) {
            mRefused = true;
            request.setDecoderResult(DecoderResult.failure(lease.refusal()));
        }
    }

    /** Creates the headers of requests, and holds the memory of the one that is being read. */
    private static final class MeteredHeadersFactory implements HttpHeadersFactory {
        private final RequestMemory mMemory;
        private RequestMemory.@Nullable Lease mReading;

        MeteredHeadersFactory(RequestMemory memory) {
            mMemory = memory;
        }

        @Override
        public HttpHeaders newHeaders() {
            RequestMemory.Lease lease = mMemory.lease();
            mReading = lease;
            return new MeteredHeaders(lease);
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return DefaultHttpHeadersFactory.headersFactory().newEmptyHeaders();
        }

        void handOver() {
            mReading = null;
        }

        void release() {
            if (mReading != null) {
                mReading.release();
            }
        }
    }
}
