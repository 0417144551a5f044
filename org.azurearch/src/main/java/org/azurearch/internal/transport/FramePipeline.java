package org.azurearch.internal.transport;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.bytes.ByteArrayDecoder;
import io.netty.handler.codec.bytes.ByteArrayEncoder;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.timeout.IdleStateHandler;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Sets up TLS, framing and idle detection, alike on both sides of a connection. */
final class FramePipeline {
    /** Length of the prefix that holds the length of a frame, in bytes. */
    static final int LENGTH_BYTES = 4;

    private FramePipeline() {}

    static void addTo(
            ChannelPipeline pipeline,
            int maxMessageBytes,
            Duration idleTimeout,
            @Nullable SslContext tls) {
        if (tls != null) {
            pipeline.addLast(tls.newHandler(pipeline.channel().alloc()));
        }
        pipeline.addLast(new IdleStateHandler(0, 0, idleTimeout.toMillis(), TimeUnit.MILLISECONDS));
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(
                        maxMessageBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ByteArrayDecoder());
        pipeline.addLast(new ByteArrayEncoder());
    }
}
