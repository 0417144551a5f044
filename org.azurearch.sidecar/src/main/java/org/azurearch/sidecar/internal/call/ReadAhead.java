package org.azurearch.sidecar.internal.call;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.MaxMessagesRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.azurearch.internal.call.RequestMemory;
import org.jspecify.annotations.Nullable;

/**
 * Goes on reading a caller's connection while no further request is taken from it, as a close is
 * noticed only once all bytes before it have been read. Beyond a limit it reads slowly, and beyond
 * a second one not at all. Confined to one event loop.
 */
final class ReadAhead extends ChannelInboundHandlerAdapter {
    /** Decides whether requests are taken, and is told how the connection is read. */
    interface Listener {
        /** Returns whether no further request may be taken now. */
        boolean full();

        /** Called when the connection is read slowly from now on, or normally again. */
        void readingChanged(boolean slow);
    }

    /** Bytes held of one connection beyond which it is read slowly. */
    static final int SLOW_BYTES = 256 * 1024;

    /** Bytes held of one connection beyond which it is not read. */
    static final int MAX_BYTES = 1024 * 1024;

    /** Interval of the reads of a connection that is read slowly. */
    private static final long SLOW_READ_MILLIS = 50;

    /**
     * Receive buffer of a connection that is read slowly; what the kernel has received is then read
     * within about two intervals.
     */
    private static final int SLOW_RECEIVE_BYTES = 16 * 1024;

    /** Limit of one read; the default would read a megabyte at a time. */
    private static final int MAX_READ_BYTES = 16 * 1024;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2_048;
    private static final int READS_PER_LOOP = 4;

    /** Memory of a buffer besides its content. */
    private static final int BUFFER_BYTES = 128;

    /** Bytes that are passed on before {@link Listener#full} is asked again. */
    private static final int SLICE_BYTES = 2_048;

    private final SocketChannel mChannel;
    private final RequestMemory mMemory;
    private final Listener mListener;
    private final MaxMessagesRecvByteBufAllocator mReadSize =
            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                    .maxMessagesPerRead(READS_PER_LOOP);
    private final Deque<ByteBuf> mHeld = new ArrayDeque<>(0);
    private @Nullable ChannelHandlerContext mContext;
    private RequestMemory.@Nullable Lease mLease;
    private int mHeldBytes;
    private boolean mForwarding;
    private boolean mSlow;
    private boolean mOutOfMemory;

    ReadAhead(SocketChannel channel, RequestMemory memory, Listener listener) {
        mChannel = channel;
        mMemory = memory;
        mListener = listener;
        channel.config().setRecvByteBufAllocator(mReadSize);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof ByteBuf bytes)) {
            context.fireChannelRead(message);
            return;
        }
        mHeld.add(bytes);
        mHeldBytes += bytes.readableBytes();
        forward();
        if (!mHeld.isEmpty()) {
            hold(bytes.capacity());
        }
    }

    /** Accounts for a buffer that is held; without memory, nothing is read until all is taken. */
    private void hold(int bytes) {
        mReadSize.maxMessagesPerRead(1);
        RequestMemory.Lease lease = mLease == null ? mMemory.lease() : mLease;
        mLease = lease;
        mOutOfMemory |= !lease.tryAdd(bytes + BUFFER_BYTES);
        if (mOutOfMemory || mHeldBytes >= SLOW_BYTES) {
            readSlowly();
        }
    }

    private void releaseMemory() {
        RequestMemory.Lease lease = mLease;
        mLease = null;
        mOutOfMemory = false;
        if (lease != null) {
            lease.release();
            mReadSize.maxMessagesPerRead(READS_PER_LOOP);
        }
    }

    /** Passes on what is held, as far as requests are taken; called when an answer is written. */
    void forward() {
        ChannelHandlerContext context = mContext;
        if (mForwarding || mHeld.isEmpty() || context == null) {
            return;
        }
        mForwarding = true;
        while (!mHeld.isEmpty() && !mListener.full()) {
            context.fireChannelRead(nextSlice());
        }
        mForwarding = false;
        if (mHeld.isEmpty()) {
            releaseMemory();
        }
        if (mSlow && !mOutOfMemory && mHeldBytes < SLOW_BYTES) {
            readNormally();
        }
    }

    /** Returns whether bytes are held. */
    boolean holdsBytes() {
        return mHeldBytes > 0;
    }

    /** Returns the bytes that are held. */
    int heldBytes() {
        return mHeldBytes;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mHeld.forEach(ReferenceCountUtil::release);
        mHeld.clear();
        mHeldBytes = 0;
        releaseMemory();
        context.fireChannelInactive();
    }

    private ByteBuf nextSlice() {
        ByteBuf first = mHeld.getFirst();
        int length = Math.min(SLICE_BYTES, first.readableBytes());
        mHeldBytes -= length;
        if (length == first.readableBytes()) {
            return mHeld.removeFirst();
        }
        return first.readRetainedSlice(length);
    }

    private void readSlowly() {
        if (!mSlow) {
            mSlow = true;
            mChannel.config().setAutoRead(false).setReceiveBufferSize(SLOW_RECEIVE_BYTES);
            mListener.readingChanged(true);
            scheduleRead();
        }
    }

    private void readNormally() {
        mSlow = false;
        mChannel.config().setAutoRead(true);
        mListener.readingChanged(false);
    }

    private void scheduleRead() {
        mChannel.eventLoop().schedule(this::readOnce, SLOW_READ_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void readOnce() {
        if (mSlow && mChannel.isOpen()) {
            if (mHeldBytes < MAX_BYTES && !mOutOfMemory) {
                mChannel.read();
            }
            scheduleRead();
        }
    }
}
