package org.azurearch.sidecar.internal.hop;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.azurearch.events.EventLog;
import org.azurearch.internal.call.LingeringClose;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.internal.UnsentBytes;
import org.azurearch.sidecar.route.EndpointLoad;
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

    /** An answer that the socket has not accepted yet. */
    private record WaitingAnswer(HopFrame frame, Supplier<EndpointLoad> load) {
        /** Loads reach the peer in the order in which they were taken. */
        HopFrame withPresentLoad() {
            frame.getAnswer().setLoad(HopWire.toWire(load.get()));
            return frame;
        }
    }

    private final Channel mChannel;
    private final FrameCodec mCodec;
    private final Listener mListener;
    private final NavigableMap<Integer, Deque<WaitingAnswer>> mAnswers = new TreeMap<>();
    private boolean mFlushScheduled;
    private long mLastReadNanos = System.nanoTime();

    private HopConnection(Channel channel, FrameCodec codec, Listener listener) {
        mChannel = channel;
        mCodec = codec;
        mListener = listener;
    }

    /** Installs the frame handlers in the pipeline of a channel. */
    static void install(Channel channel, FrameCodec codec, Listener listener) {
        HopConnection connection = new HopConnection(channel, codec, listener);
        channel.pipeline()
                .addLast(connection.new ReadObserver())
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(connection);
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
        return write(frame, mCodec.encode(frame));
    }

    /**
     * Sends the answer to a call, after more urgent ones that the socket has not accepted yet and
     * after all other frames.
     *
     * @param rank the rank of the call; a lower one is more urgent
     * @param load returns the present load, which replaces that of an answer that has to wait
     * @return the size of the frame in bytes; 0 if the connection is closed
     */
    public int sendAnswer(HopFrame frame, int rank, Supplier<EndpointLoad> load) {
        if (!mChannel.isActive()) {
            return 0;
        }
        ByteBuf encoded = mCodec.encode(frame);
        int bytes = encoded.readableBytes();
        if (mAnswers.isEmpty() && mChannel.isWritable()) {
            write(frame, encoded);
        } else {
            mAnswers.computeIfAbsent(rank, key -> new ArrayDeque<>())
                    .add(new WaitingAnswer(frame, load));
            writeAnswers();
        }
        return bytes;
    }

    private void writeAnswers() {
        while (mChannel.isWritable() && !mAnswers.isEmpty()) {
            Deque<WaitingAnswer> first = mAnswers.firstEntry().getValue();
            HopFrame answer = first.remove().withPresentLoad();
            write(answer, mCodec.encode(answer));
            if (first.isEmpty()) {
                mAnswers.pollFirstEntry();
            }
        }
    }

    private int write(HopFrame frame, ByteBuf encoded) {
        int bytes = encoded.readableBytes();
        mCodec.sent().sent(frame, bytes);
        mChannel.write(encoded, mChannel.voidPromise());
        if (!mFlushScheduled) {
            mFlushScheduled = true;
            mChannel.eventLoop().execute(this::flush);
        }
        return bytes;
    }

    /** Returns the {@link System#nanoTime()} at which bytes arrived last. */
    public long lastReadNanos() {
        return mLastReadNanos;
    }

    /** Returns for how long nothing has arrived, in milliseconds. */
    long silentMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - mLastReadNanos);
    }

    /** Sends a ping, which the peer replies to. */
    void ping() {
        send(HopFrame.ping(new WireHopPing(false)));
    }

    /** Returns the address of the peer, for log lines. */
    public String peer() {
        return String.valueOf(mChannel.remoteAddress());
    }

    /** Returns the IP address of the peer. */
    String peerHost() {
        return mChannel.remoteAddress() instanceof InetSocketAddress address
                ? address.getHostString()
                : peer();
    }

    /** Returns the bytes of frames that were not sent yet. */
    long unsentBytes() {
        return UnsentBytes.of(mChannel);
    }

    /** Closes the connection, on which nothing is left to send, once the peer has read it all. */
    void closeAfterSending() {
        LingeringClose.now(mChannel);
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
        mAnswers.clear();
        mListener.closed(this);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        writeAnswers();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf message) {
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

    /** Observes bytes before they are a whole frame, which takes seconds on a narrow link. */
    private final class ReadObserver extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            mLastReadNanos = System.nanoTime();
            context.fireChannelRead(message);
        }
    }
}
