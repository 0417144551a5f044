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

/** Adds the handlers for TLS, framing and idle detection, the same on both sides. */
final class FramePipeline {
    /** Size of the length prefix of a frame, in bytes. */
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
