package org.azurearch.sidecar.internal;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.azurearch.events.EventLog;
import org.azurearch.internal.call.MeteredHeaders;
import org.azurearch.internal.call.RequestMemory;
import org.azurearch.internal.call.RequestMemoryException;
import org.azurearch.internal.call.StrictRequestDecoder;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.SidecarEvent;

/** HTTP server for the node's own endpoints: readiness, backend heartbeats and metrics. */
public final class PlainHttpServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int BACKLOG = 64;

    /** The platform, the backend server and the collector of metrics use one or two each. */
    private static final int MAX_CONNECTIONS = 64;

    /**
     * A request with its body.
     *
     * @param method the method
     * @param path the request target
     * @param body the body
     */
    public record Request(String method, String path, byte[] body) {}

    /**
     * A reply with its body.
     *
     * @param status the HTTP status
     * @param mediaType the media type of the body
     * @param body the body
     */
    public record Reply(int status, String mediaType, byte[] body) {
        /** Returns a reply whose body is an empty JSON object. */
        public static Reply of(int status) {
            return new Reply(status, "application/json", new byte[] {'{', '}'});
        }
    }

    /** Handles requests. */
    public interface Handler {
        /** Handles a request and returns the reply. */
        Reply handle(Request request);
    }

    private final OpenConnections<Exchange> mConnections;
    private final ListeningSocket mSocket;

    /**
     * Creates a server and starts listening.
     *
     * @param loop the event loop of the connections
     * @param address the address to listen on
     * @param memory bounds the memory of requests
     * @param log logs connections that are closed
     * @param handler handles requests
     */
    public PlainHttpServer(
            EventLoop loop,
            NetAddress address,
            RequestMemory memory,
            CallLog log,
            Handler handler) {
        mConnections = new OpenConnections<>(MAX_CONNECTIONS, log);
        mSocket =
                ListeningSocket.open(
                        loop,
                        address,
                        BACKLOG,
                        channel ->
                                channel.pipeline()
                                        .addLast(new StrictRequestDecoder(memory))
                                        .addLast(new HttpResponseEncoder())
                                        .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                        .addLast(new Exchange(mConnections, channel, handler)));
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return mSocket.port();
    }

    @Override
    public void close() {
        mSocket.close();
    }

    /** Serves one connection. */
    private static final class Exchange extends SimpleChannelInboundHandler<FullHttpRequest>
            implements OpenConnections.Connection {
        private final OpenConnections<Exchange> mConnections;
        private final Channel mChannel;
        private final Handler mHandler;
        private long mUnusedSinceNanos = System.nanoTime();

        Exchange(OpenConnections<Exchange> connections, Channel channel, Handler handler) {
            mConnections = connections;
            mChannel = channel;
            mHandler = handler;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            mConnections.opened(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mConnections.closed(this);
        }

        /** Reads no further request while replies to earlier ones wait to be read. */
        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            mChannel.config().setAutoRead(mChannel.isWritable());
        }

        @Override
        public boolean inUse() {
            return false; // a reply is given before the next event
        }

        @Override
        public long unusedSinceNanos() {
            return mUnusedSinceNanos;
        }

        @Override
        public String peer() {
            return String.valueOf(mChannel.remoteAddress());
        }

        @Override
        public void close(String reason) {
            mChannel.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            mUnusedSinceNanos = System.nanoTime();
            Reply reply = reply(request);
            MeteredHeaders.release(request);
            byte[] body = request.method().equals(HttpMethod.HEAD) ? new byte[0] : reply.body();
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(reply.status()),
                            Unpooled.wrappedBuffer(body));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.mediaType());
            HttpUtil.setContentLength(response, body.length);
            if (HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess()) {
                context.writeAndFlush(response, context.voidPromise());
            } else {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
            }
        }

        private Reply reply(FullHttpRequest request) {
            if (request.decoderResult().cause() instanceof RequestMemoryException) {
                return Reply.of(HttpResponseStatus.SERVICE_UNAVAILABLE.code());
            }
            if (request.decoderResult().isFailure()) {
                return Reply.of(HttpResponseStatus.BAD_REQUEST.code());
            }
            return mHandler.handle(
                    new Request(
                            request.method().name(),
                            request.uri(),
                            ByteBufUtil.getBytes(request.content())));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof RuntimeException) {
                EventLog.log(
                        SidecarEvent.HANDLER_FAILED, cause, "node HTTP server", cause.toString());
            }
            context.close();
        }
    }
}
