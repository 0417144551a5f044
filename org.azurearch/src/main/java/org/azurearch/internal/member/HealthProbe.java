package org.azurearch.internal.member;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.azurearch.internal.call.AnswerDecoder;
import org.azurearch.internal.call.HttpLimits;
import org.azurearch.lib.NetAddress;
import org.jspecify.annotations.Nullable;

/**
 * Probes the health endpoint of the backend server over HTTP, on a connection for each probe. The
 * status decides; the connection is closed without reading the body.
 */
final class HealthProbe implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private @Nullable EventLoopGroup mLoops;

    /**
     * Sends a GET request.
     *
     * @return whether a 2xx status arrived in time; never completes exceptionally
     */
    CompletableFuture<Boolean> probe(NetAddress address, String path) {
        CompletableFuture<Boolean> healthy = new CompletableFuture<>();
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
        request.headers()
                .set(HttpHeaderNames.HOST, address.name())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        new Bootstrap()
                .group(lazyLoops())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) TIMEOUT.toMillis())
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                AnswerDecoder decoder =
                                        new AnswerDecoder(HttpLimits.answerConfig());
                                decoder.awaitAnswer(HttpMethod.GET);
                                channel.pipeline()
                                        .addLast(decoder)
                                        .addLast(new HttpRequestEncoder())
                                        .addLast(new Probe(request, healthy));
                            }
                        })
                .connect(address.socketAddress())
                .addListener(
                        connected -> {
                            if (!connected.isSuccess()) {
                                healthy.complete(false);
                            }
                        });
        return healthy;
    }

    /** Stops the thread of the probes. */
    @Override
    public synchronized void close() {
        if (mLoops != null) {
            mLoops.shutdownGracefully(0, TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private synchronized EventLoopGroup lazyLoops() {
        if (mLoops == null) {
            mLoops =
                    new MultiThreadIoEventLoopGroup(
                            1,
                            new DefaultThreadFactory("azurearch-health-probe", true),
                            NioIoHandler.newFactory());
        }
        return mLoops;
    }

    /** A connection, which is closed once the result is known. */
    private static final class Probe extends SimpleChannelInboundHandler<HttpObject> {
        private final FullHttpRequest mRequest;
        private final CompletableFuture<Boolean> mHealthy;

        Probe(FullHttpRequest request, CompletableFuture<Boolean> healthy) {
            mRequest = request;
            mHealthy = healthy;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            context.executor()
                    .schedule(() -> end(context, false), TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            context.writeAndFlush(mRequest, context.voidPromise());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (message instanceof HttpResponse head) {
                boolean success =
                        head.decoderResult().isSuccess()
                                && head.status().codeClass() == HttpStatusClass.SUCCESS;
                end(context, success);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            end(context, false);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            end(context, false); // the server counts as unhealthy, which is logged
        }

        private void end(ChannelHandlerContext context, boolean healthy) {
            mHealthy.complete(healthy);
            context.close();
        }
    }
}
