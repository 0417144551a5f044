package org.azurearch.standin.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.azurearch.standin.proxy.ProxyRule.Action;

/** One direction of a proxied connection. Used on the event loop of its connection only. */
final class ProxyLeg {
    private final EventLoop mLoop;
    private final Supplier<ProxyRule> mRule;
    private final Channel mReceiver;
    private final Runnable mCloseBoth;
    private final CrossedAnswers mCrossed;
    private long mReceivedBytes;
    private long mLastDueNanos = System.nanoTime();

    ProxyLeg(
            EventLoop loop,
            Supplier<ProxyRule> rule,
            Channel to,
            Runnable cut,
            CrossedAnswers crossed) {
        mLoop = loop;
        mRule = rule;
        mReceiver = to;
        mCloseBoth = cut;
        mCrossed = crossed;
    }

    /** Treats bytes that arrived; takes over the buffer. */
    void forward(ByteBuf chunk) {
        ProxyRule rule = mRule.get();
        long passing = Math.max(0, rule.afterBytes() - mReceivedBytes);
        mReceivedBytes += chunk.readableBytes();
        switch (rule.action()) {
            case PASS -> write(chunk, 0);
            case DELAY -> write(chunk, rule.delay().toNanos());
            case CROSS -> mCrossed.deliver(mReceiver, chunk);
            case DROP, CUT -> writePrefix(chunk, passing, rule.action());
            default -> throw new IllegalStateException("action " + rule.action());
        }
    }

    /** Treats the close of the sending side. */
    void senderClosed() {
        if (mRule.get().action() == Action.DROP) {
            return;
        }
        mLoop.schedule(
                () ->
                        mReceiver
                                .writeAndFlush(Unpooled.EMPTY_BUFFER)
                                .addListener(ChannelFutureListener.CLOSE),
                Math.max(0, mLastDueNanos - System.nanoTime()),
                TimeUnit.NANOSECONDS);
    }

    private void writePrefix(ByteBuf chunk, long passing, Action then) {
        if (passing >= chunk.readableBytes()) {
            write(chunk, 0);
            return;
        }
        ByteBuf first = chunk.readRetainedSlice((int) passing);
        chunk.release();
        if (then == Action.CUT) {
            mReceiver.writeAndFlush(first).addListener(future -> mCloseBoth.run());
        } else {
            write(first, 0);
        }
    }

    private void write(ByteBuf chunk, long delayNanos) {
        long now = System.nanoTime();
        long due = Math.max(mLastDueNanos, now + delayNanos);
        mLastDueNanos = due;
        if (due <= now) {
            mReceiver.writeAndFlush(chunk, mReceiver.voidPromise());
        } else {
            mLoop.schedule(() -> mReceiver.writeAndFlush(chunk), due - now, TimeUnit.NANOSECONDS);
        }
    }
}
