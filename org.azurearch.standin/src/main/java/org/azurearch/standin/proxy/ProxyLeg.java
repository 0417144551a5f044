package org.azurearch.standin.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.EventLoop;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.azurearch.standin.proxy.ProxyRule.Action;

/** One direction of a proxied connection. Confined to the event loop of its connection. */
final class ProxyLeg {
    /** Bytes that pass at once where the bandwidth is limited. */
    private static final int RATE_BYTES = 2_048;

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
            Channel receiver,
            Runnable closeBoth,
            CrossedAnswers crossed) {
        mLoop = loop;
        mRule = rule;
        mReceiver = receiver;
        mCloseBoth = closeBoth;
        mCrossed = crossed;
    }

    /** Applies the rule to received bytes; takes ownership of the buffer. */
    void forward(ByteBuf chunk) {
        ProxyRule rule = mRule.get();
        long passingBytes = Math.max(0, rule.afterBytes() - mReceivedBytes);
        mReceivedBytes += chunk.readableBytes();
        switch (rule.action()) {
            case PASS -> write(chunk, 0);
            case DELAY -> write(chunk, rule.delay().toNanos());
            case RATE -> writeAt(Objects.requireNonNull(rule.rate()), chunk);
            case CROSS -> mCrossed.deliver(mReceiver, chunk);
            case DROP, CUT -> writePrefix(chunk, passingBytes, rule.action());
            default -> throw new IllegalStateException("unexpected action " + rule.action());
        }
    }

    /**
     * Passes on a close of the sending side after any delayed bytes, unless the rule drops bytes.
     */
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

    private void writePrefix(ByteBuf chunk, long passingBytes, Action action) {
        if (passingBytes >= chunk.readableBytes()) {
            write(chunk, 0);
            return;
        }
        ByteBuf prefix = chunk.readRetainedSlice((int) passingBytes);
        chunk.release();
        if (action == Action.CUT) {
            mReceiver.writeAndFlush(prefix).addListener(future -> mCloseBoth.run());
        } else {
            write(prefix, 0);
        }
    }

    private void writeAt(SharedRate rate, ByteBuf chunk) {
        while (chunk.readableBytes() > RATE_BYTES) {
            writePart(rate, chunk.readRetainedSlice(RATE_BYTES));
        }
        writePart(rate, chunk);
    }

    private void writePart(SharedRate rate, ByteBuf part) {
        long due = rate.reserve(part.readableBytes());
        write(part, Math.max(0, due - System.nanoTime()));
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
