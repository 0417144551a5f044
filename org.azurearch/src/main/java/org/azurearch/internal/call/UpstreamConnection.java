package org.azurearch.internal.call;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import org.azurearch.call.CallHeaders;
import org.jspecify.annotations.Nullable;

/** A connection to a backend server or to a peer. It carries one exchange at a time. */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    private final ConnectionPool mPool;
    private final Channel mChannel;
    private final AnswerDecoder mDecoder;
    private final AnswerAttribution mAttribution = AnswerAttribution.byUniqueIds();
    private @Nullable UpstreamExchange mExchange;
    private long mIdleSinceNanos;

    UpstreamConnection(ConnectionPool pool, Channel channel, AnswerDecoder decoder) {
        mPool = pool;
        mChannel = channel;
        mDecoder = decoder;
    }

    Channel channel() {
        return mChannel;
    }

    /**
     * Assigns the connection to an exchange, which sends its request next.
     *
     * @param callId the id that an answer to the request names, if any
     */
    void begin(UpstreamExchange exchange, HttpMethod method, String callId) {
        mExchange = exchange;
        mDecoder.awaitAnswer(method);
        mAttribution.sent(callId);
    }

    /** Ends the exchange; returns whether the connection may be used again. */
    boolean end() {
        mExchange = null;
        return mDecoder.endAnswer() && mAttribution.reusable() && mChannel.isActive();
    }

    long idleSinceNanos() {
        return mIdleSinceNanos;
    }

    void idleSinceNanos(long nanos) {
        mIdleSinceNanos = nanos;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        UpstreamExchange exchange = mExchange;
        if (exchange == null) {
            ReferenceCountUtil.release(message);
            mChannel.close();
        } else if (message instanceof HttpResponse head) {
            readHead(exchange, head);
        } else if (message instanceof HttpContent content) {
            readContent(exchange, content);
        } else {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (mExchange != null) {
            mExchange.onReadComplete();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (mExchange != null && mChannel.isWritable()) {
            mExchange.onWritable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mPool.onClosed(this);
        UpstreamExchange exchange = mExchange;
        mExchange = null;
        if (exchange != null) {
            exchange.onClosed();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        UpstreamExchange exchange = mExchange;
        if (cause instanceof DecoderException && exchange != null) {
            exchange.onMalformed("malformed answer: " + cause.getMessage());
        }
        mChannel.close();
    }

    private void readHead(UpstreamExchange exchange, HttpResponse head) {
        if (head.decoderResult().isFailure()) {
            ReferenceCountUtil.release(head);
            exchange.onMalformed("malformed answer: " + head.decoderResult().cause().getMessage());
        } else if (owner(head) != AnswerAttribution.Owner.PENDING) {
            ReferenceCountUtil.release(head);
            exchange.onMalformed("an answer that may belong to another request");
        } else {
            exchange.onHead(head);
        }
    }

    private void readContent(UpstreamExchange exchange, HttpContent content) {
        if (content.decoderResult().isFailure()) {
            content.release();
            exchange.onMalformed("malformed body of an answer");
        } else {
            exchange.onContent(content);
        }
    }

    private AnswerAttribution.Owner owner(HttpResponse head) {
        return mAttribution.owner(
                head.headers().getAll(CallHeaders.CALL_ID), BackendExchange.refuses(head));
    }
}
