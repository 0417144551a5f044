package org.azurearch.sidecar.internal.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import org.azurearch.sidecar.admit.AnswerBudget;

/** Counts the bytes of an answer against the budget of the node, and pauses reading as it asks. */
final class AnswerReader extends ChannelDuplexHandler implements AnswerBudget.Reader {
    private final Channel mChannel;
    private final AnswerBudget.Holding mHolding;
    private boolean mPaused;

    AnswerReader(Channel channel, AnswerBudget budget) {
        mChannel = channel;
        mHolding = budget.open(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            mHolding.add(bytes.readableBytes());
        }
        context.fireChannelRead(message);
    }

    /** Drops reads while paused: an aggregator asks for more until its message is complete. */
    @Override
    public void read(ChannelHandlerContext context) {
        if (!mPaused) {
            context.read();
        }
    }

    /** Ends the answer, which is complete or given up. */
    void answerEnded() {
        mHolding.end();
    }

    @Override
    public void pause() {
        mPaused = true;
        mChannel.config().setAutoRead(false);
    }

    @Override
    public void resume() {
        mPaused = false;
        mChannel.config().setAutoRead(true);
    }
}
