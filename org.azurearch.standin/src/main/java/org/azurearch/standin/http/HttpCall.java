package org.azurearch.standin.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Optional;

/** A request received by a stand-in, with the means to reply to it. */
public final class HttpCall {
    private static final Runnable NO_ACTION = () -> {};

    private final Channel mChannel;
    private final String mMethod;
    private final QueryStringDecoder mUri;
    private final HttpHeaders mHeaders;
    private final byte[] mBody;
    private final boolean mKeepAlive;
    private final boolean mFirstOnConnection;
    private volatile Runnable mOnDisconnect = NO_ACTION;

    HttpCall(
            Channel channel,
            String method,
            String uri,
            HttpHeaders headers,
            byte[] body,
            boolean keepAlive,
            boolean firstOnConnection) {
        mChannel = channel;
        mMethod = method;
        mUri = new QueryStringDecoder(uri);
        mHeaders = headers;
        mBody = body;
        mKeepAlive = keepAlive;
        mFirstOnConnection = firstOnConnection;
    }

    /** Returns the HTTP method, upper-case. */
    public String method() {
        return mMethod;
    }

    /** Returns the path without its query. */
    public String path() {
        return mUri.path();
    }

    /** Returns the first value of a query parameter. */
    public Optional<String> parameter(String name) {
        return mUri.parameters().getOrDefault(name, List.of()).stream().findFirst();
    }

    /**
     * Returns a query parameter as a whole number, or the fallback if it is absent.
     *
     * @throws NumberFormatException if the value is not a whole number
     */
    public long longParameter(String name, long fallback) {
        return parameter(name).map(Long::parseLong).orElse(fallback);
    }

    /** Returns the first value of a header. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(mHeaders.get(name));
    }

    /** Returns the body; must not be modified. */
    public byte[] body() {
        return mBody;
    }

    /** Returns the event loop of the caller's connection, for delayed replies. */
    public EventLoop eventLoop() {
        return mChannel.eventLoop();
    }

    /** Returns whether this is the first request on its connection. */
    public boolean firstOnConnection() {
        return mFirstOnConnection;
    }

    /** Returns whether the caller is still connected. */
    public boolean connected() {
        return mChannel.isActive();
    }

    /** Sets the task to run if the caller's connection closes before the reply is sent. */
    public void onDisconnect(Runnable task) {
        mOnDisconnect = task;
    }

    void disconnected() {
        Runnable task = mOnDisconnect;
        mOnDisconnect = NO_ACTION;
        task.run();
    }

    /** Sends the reply. */
    public void reply(HttpReply reply) {
        mOnDisconnect = NO_ACTION;
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(reply.status()),
                        Unpooled.wrappedBuffer(reply.body()));
        reply.headers().forEach((name, value) -> response.headers().set(name, value));
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
        if (mKeepAlive) {
            mChannel.writeAndFlush(response, mChannel.voidPromise());
        } else {
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
            mChannel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Closes the connection without a reply. */
    public void closeWithoutReply() {
        mChannel.close();
    }
}
