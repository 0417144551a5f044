package org.azurearch.internal.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Decodes the answers on a connection that carries one request at a time. It drops interim answers,
 * closes the connection on bytes that no request awaits, and marks a head as malformed that is not
 * one by {@link AnswerRules} or contains the start of another one. It fails with {@link
 * TooLongFrameException} if much more is sent than the bodies of answers, such as interim answers,
 * blank lines or tiny chunks without end.
 */
public final class AnswerDecoder extends HttpResponseDecoder {
    private static final String PROTOCOL = "HTTP/1.";

    /** A status line; its start alone may be part of a value, as in the header Via. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d +\\d{3}(?!\\d)");

    /**
     * Bytes outside of bodies that are accepted for one request beyond as many bytes as the body
     * has. Heads are far smaller, and chunks of a few bytes each already need no more than their
     * content.
     */
    private static final int MAX_EXCESS_BYTES = 1024 * 1024;

    private final HeadChecker mChecker = new HeadChecker(HeadChecker.Kind.ANSWER);
    private final ChunkChecker mChunks = new ChunkChecker();
    private long mExcessBytes;
    private boolean mInHead = true;
    private boolean mRefused;
    private boolean mAwaiting;
    private boolean mHeadRequest;

    /** Creates a decoder for a connection without a request. */
    public AnswerDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Awaits the answer to a request with the given method. */
    public void awaitAnswer(HttpMethod method) {
        mAwaiting = true;
        mExcessBytes = 0;
        mHeadRequest = method.equals(HttpMethod.HEAD);
    }

    /**
     * Awaits nothing more, as the answer is complete.
     *
     * @return whether the answer was the last that was received, so that the connection may be used
     *     again
     */
    public boolean endAnswer() {
        mAwaiting = false;
        return actualReadableBytes() == 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (mAwaiting) {
            super.channelRead(context, message);
        } else {
            ReferenceCountUtil.release(message);
            context.close();
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        if (mRefused) {
            in.skipBytes(in.readableBytes());
            return;
        }
        String problem = mInHead ? mChecker.problem(in) : mChunks.problem(in);
        if (problem != null) {
            refuse(in, problem, out);
        } else {
            int start = in.readerIndex();
            decodeChecked(context, in, out);
            mChecker.consumed(in.readerIndex() - start);
            mChunks.consumed(in.readerIndex() - start);
        }
    }

    /** Refuses an answer; what follows on the connection is dropped. */
    private void refuse(ByteBuf in, String problem, List<Object> out) {
        mRefused = true;
        in.skipBytes(in.readableBytes());
        DecoderResult failure = DecoderResult.failure(new CorruptedFrameException(problem));
        if (mInHead) {
            HttpMessage message = createInvalidMessage();
            message.setDecoderResult(failure);
            out.add(message);
        } else {
            HttpContent content = new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
            content.setDecoderResult(failure);
            out.add(content);
        }
    }

    private void decodeChecked(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        int before = out.size();
        int readable = in.readableBytes();
        super.decode(context, in, out);
        List<Object> decoded = out.subList(before, out.size());
        if (exceeds(readable - in.readableBytes(), decoded)) {
            decoded.forEach(ReferenceCountUtil::release);
            decoded.clear();
            throw new TooLongFrameException(
                    "over " + MAX_EXCESS_BYTES + " bytes more than the body of an answer");
        }
        trackHead(decoded);
        if (out.size() == before || !(out.get(before) instanceof HttpResponse head)) {
            return;
        }
        String problem = head.decoderResult().isSuccess() ? problem(head) : null;
        if (problem != null) {
            mRefused = true;
            head.setDecoderResult(DecoderResult.failure(new CorruptedFrameException(problem)));
        } else if (head.decoderResult().isSuccess() && interim(head)) {
            out.subList(before, out.size()).clear();
        }
    }

    private void trackHead(List<Object> decoded) {
        for (Object message : decoded) {
            if (message instanceof HttpResponse head) {
                mInHead = false;
                mChunks.begin(HttpUtil.isTransferEncodingChunked(head));
            }
            if (message instanceof LastHttpContent) {
                mInHead = true;
                mChecker.reset();
            }
        }
    }

    private static @Nullable String problem(HttpResponse head) {
        if (head.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            return "another protocol, which was not asked for";
        }
        String framing = AnswerRules.framingProblem(head);
        return framing == null && joined(head) ? "a head contains the start of another" : framing;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new CorruptedFrameException("both Content-Length and Transfer-Encoding");
    }

    /** Counts bytes that were decoded; returns whether there are too many outside of bodies. */
    private boolean exceeds(int consumedBytes, List<Object> decoded) {
        int bodyBytes = 0;
        for (Object message : decoded) {
            if (message instanceof HttpContent content) {
                bodyBytes += content.content().readableBytes();
            }
        }
        mExcessBytes += consumedBytes - 2L * bodyBytes;
        return mExcessBytes > MAX_EXCESS_BYTES;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        boolean answersHead = mHeadRequest && !interim((HttpResponse) message);
        return answersHead || super.isContentAlwaysEmpty(message);
    }

    private static boolean interim(HttpResponse head) {
        return head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    private static boolean joined(HttpResponse head) {
        if (containsStatusLine(head.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> header : head.headers()) {
            if (containsStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(String text) {
        return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
    }
}
