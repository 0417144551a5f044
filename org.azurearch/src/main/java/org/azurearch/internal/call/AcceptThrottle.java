package org.azurearch.internal.call;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Accepts a bounded number of connections in each tick, so that a storm of returning callers does
 * not starve the calls under way. The others wait in the listener's backlog.
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

    /** Begins the next tick. */
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
