package org.azurearch.sidecar.internal.hop;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import org.azurearch.events.EventLog;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WireHopPing;

/** A connection between two nodes, opened by either of them. Confined to one event loop. */
public final class HopConnection extends SimpleChannelInboundHandler<ByteBuf> {
    /** Limit of a frame: holds a configuration of 100,000 routes, or a body with its headers. */
    private static final int MAX_FRAME_BYTES = 64 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;

    /** Receives the events of a connection. */
    public interface Listener {
        /** Called when the connection is open. */
        void opened(HopConnection connection);

        /** Called for each frame except pings. */
        void received(HopConnection connection, HopFrame frame);

        /** Called when the connection is closed. */
        void closed(HopConnection connection);
    }

    private final Channel mChannel;
    private final FrameCodec mCodec;
    private final Listener mListener;
    private boolean mFlushScheduled;
    private long mLastReadNanos = System.nanoTime();

    private HopConnection(Channel channel, FrameCodec codec, Listener listener) {
        mChannel = channel;
        mCodec = codec;
        mListener = listener;
    }

    /** Installs the frame handlers in the pipeline of a channel. */
    static void install(Channel channel, FrameCodec codec, Listener listener) {
        channel.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(new HopConnection(channel, codec, listener));
    }

    /**
     * Sends a frame; frames sent in one run of the event loop are flushed together.
     *
     * @return the size of the frame in bytes; 0 if the connection is closed
     */
    public int send(HopFrame frame) {
        if (!mChannel.isActive()) {
            return 0;
        }
        ByteBuf encoded = mCodec.encode(frame);
        int bytes = encoded.readableBytes();
        mChannel.write(encoded, mChannel.voidPromise());
        if (!mFlushScheduled) {
            mFlushScheduled = true;
            mChannel.eventLoop().execute(this::flush);
        }
        return bytes;
    }

    /** Returns the {@link System#nanoTime()} at which the last frame arrived. */
    public long lastReadNanos() {
        return mLastReadNanos;
    }

    /** Closes the connection. */
    public void close() {
        mChannel.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mListener.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mListener.closed(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf message) {
        mLastReadNanos = System.nanoTime();
        HopFrame frame = mCodec.decode(message);
        if (!frame.isSet()) {
            EventLog.log(
                    SidecarEvent.HOP_CONNECTION_FAILED,
                    mChannel.remoteAddress(),
                    "a frame of unknown kind is ignored");
            return;
        }
        if (frame.isSetPing()) {
            if (!frame.getPing().isReply()) {
                send(HopFrame.ping(new WireHopPing(true)));
            }
            return;
        }
        mListener.received(this, frame);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        EventLog.log(
                SidecarEvent.HOP_CONNECTION_FAILED, mChannel.remoteAddress(), cause.toString());
        context.close();
    }

    private void flush() {
        mFlushScheduled = false;
        mChannel.flush();
    }
}
