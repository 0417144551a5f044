package org.azurearch.internal.call;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.ssl.SslHandler;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection after its last answer. The kernel resets a connection that is closed while
 * bytes arrive, which also drops the part of the answer that is still under way; so only the
 * sending direction is closed, and what arrives is discarded until the other side closes too.
 */
public final class LingeringClose extends ChannelInboundHandlerAdapter {
    /** Longest wait for the other side to read the answer and to close. */
    private static final long LINGER_MILLIS = 2_000;

    private LingeringClose() {}

    /** Closes the channel once its last answer is written. */
    public static void after(ChannelFuture written) {
        written.addListener(
                sent -> {
                    if (sent.isSuccess()) {
                        now(written.channel());
                    } else {
                        written.channel().close();
                    }
                });
    }

    /** Closes a channel that has nothing left to write. */
    public static void now(Channel channel) {
        if (channel instanceof DuplexChannel duplex) {
            begin(duplex);
        } else {
            channel.close();
        }
    }

    private static void begin(DuplexChannel channel) {
        channel.pipeline().addFirst(new LingeringClose());
        channel.config().setAutoRead(true);
        SslHandler tls = channel.pipeline().get(SslHandler.class);
        if (tls == null) {
            channel.shutdownOutput();
        } else {
            tls.closeOutbound().addListener(notified -> channel.shutdownOutput());
        }
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ReferenceCountUtil.release(message);
    }
}
