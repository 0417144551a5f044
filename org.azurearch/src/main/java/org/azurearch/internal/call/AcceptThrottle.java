package org.azurearch.internal.call;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Limits the connections accepted per tick, so that many callers reconnecting at once do not starve
 * the calls in progress. Further connections wait in the listener's backlog.
 */
@ChannelHandler.Sharable
final class AcceptThrottle extends ChannelInboundHandlerAdapter {
    private final int mPerTick;
    private int mAccepted;

    AcceptThrottle(int perTick) {
        mPerTick = Math.max(1, perTick);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object accepted) {
        mAccepted++;
        if (mAccepted >= mPerTick) {
            context.channel().config().setAutoRead(false);
        }
        context.fireChannelRead(accepted);
    }

    /** Starts the next tick, which accepts connections again. */
    void tick(Channel listener) {
        listener.eventLoop()
                .execute(
                        () -> {
                            if (mAccepted >= mPerTick) {
                                listener.config().setAutoRead(true);
                            }
                            mAccepted = 0;
                        });
    }
}
