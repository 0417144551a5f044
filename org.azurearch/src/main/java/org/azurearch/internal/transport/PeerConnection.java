package org.azurearch.internal.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.apache.thrift.protocol.TMessageType;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.lib.NetAddress;
import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.PeerRequest;

/**
 * Client side of the connection to one node. Fields without a lock are used on the event loop of
 * the connection only.
 */
final class PeerConnection extends SimpleChannelInboundHandler<byte[]> {
    /** A request under way. */
    private record PendingRequest(
            PeerRequest._Fields kind,
            Sealer.ReplyBinding binding,
            long framesReceivedBefore,
            CompletableFuture<PeerReply> reply) {}

    private final NetAddress mAddress;
    private final ThriftCodec mCodec;
    private final Sealer mSealer;
    private final ControlByteCounters mByteCounters;
    private final Consumer<PeerConnection> mOnClosed;
    private final AtomicInteger mInFlight = new AtomicInteger();
    private final Map<Integer, PendingRequest> mPending = new HashMap<>();
    private int mSequence;
    private long mFramesReceived;

    PeerConnection(
            NetAddress address,
            ThriftCodec codec,
            Sealer sealer,
            ControlByteCounters byteCounters,
            Consumer<PeerConnection> onClosed) {
        mAddress = address;
        mCodec = codec;
        mSealer = sealer;
        mByteCounters = byteCounters;
        mOnClosed = onClosed;
    }

    /** Returns the address of the node. */
    NetAddress address() {
        return mAddress;
    }

    /** Counts one more request if that stays within a limit; safe on any thread. */
    boolean tryReserve(int limit) {
        if (mInFlight.incrementAndGet() <= limit) {
            return true;
        }
        mInFlight.decrementAndGet();
        return false;
    }

    /** Ends the count of a request; safe on any thread. */
    void release() {
        mInFlight.decrementAndGet();
    }

    /** Writes a request once the connection is up; safe on any thread. */
    void send(ChannelFuture connected, PeerRequest request, CompletableFuture<PeerReply> reply) {
        connected.addListener(
                future -> {
                    if (future.isSuccess()) {
                        write(connected.channel(), request, reply);
                    } else {
                        reply.completeExceptionally(unavailable("cannot connect"));
                        mOnClosed.accept(this);
                    }
                });
    }

    /** Gives up a request; closes the connection when nothing came back since it was sent. */
    void expire(Channel channel, CompletableFuture<PeerReply> reply) {
        channel.eventLoop()
                .execute(
                        () -> {
                            boolean silent = removeExpired(reply);
                            if (silent) {
                                channel.close();
                            }
                        });
        reply.completeExceptionally(unavailable("no reply in time"));
    }

    private void write(Channel channel, PeerRequest request, CompletableFuture<PeerReply> reply) {
        if (reply.isDone()) {
            return;
        }
        if (!channel.isActive()) {
            reply.completeExceptionally(unavailable("connection closed"));
            return;
        }
        Sealer.SealedRequest sealed = mSealer.sealRequest(mCodec.encode(request));
        int sequence = mSequence++;
        PeerRequest._Fields kind = request.getSetField();
        mPending.put(sequence, new PendingRequest(kind, sealed.binding(), mFramesReceived, reply));
        byte[] frame = mCodec.encodeCall(sequence, sealed.bytes());
        mByteCounters.countSent(kind, frame.length + FramePipeline.LENGTH_BYTES);
        channel.writeAndFlush(frame)
                .addListener(
                        future -> {
                            if (!future.isSuccess()) {
                                channel.close();
                            }
                        });
    }

    private boolean removeExpired(CompletableFuture<PeerReply> reply) {
        for (Map.Entry<Integer, PendingRequest> entry : mPending.entrySet()) {
            if (entry.getValue().reply() == reply) {
                mPending.remove(entry.getKey());
                return entry.getValue().framesReceivedBefore() == mFramesReceived;
            }
        }
        return true;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, byte[] frame) {
        ThriftCodec.Envelope envelope = mCodec.decode(frame, false);
        mFramesReceived++;
        PendingRequest pending = mPending.remove(envelope.sequence());
        if (pending == null) {
            return;
        }
        mByteCounters.countReceived(pending.kind(), frame.length + FramePipeline.LENGTH_BYTES);
        try {
            pending.reply().complete(openReply(pending, envelope));
        } catch (AzurearchException e) {
            pending.reply().completeExceptionally(e);
            if (e.code() == ErrorCode.PEER_UNAUTHENTICATED) {
                ctx.close();
            }
        }
    }

    private PeerReply openReply(PendingRequest pending, ThriftCodec.Envelope envelope) {
        if (envelope.type() != TMessageType.REPLY) {
            throw new AzurearchException(
                    ErrorCode.PEER_UNAUTHENTICATED, mAddress + " did not accept the shared key");
        }
        byte[] plain = mSealer.openReply(pending.binding(), envelope.sealed());
        return PeerRefusals.requireNotRefused(mCodec.decodeReply(plain));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        mOnClosed.accept(this);
        mPending.values()
                .forEach(
                        pending ->
                                pending.reply()
                                        .completeExceptionally(unavailable("connection closed")));
        mPending.clear();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof IdleStateEvent && mPending.isEmpty()) {
            ctx.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        EventLog.log(TransportEvent.PEER_CONNECTION_FAILED, mAddress, cause.toString());
        ctx.close();
    }

    private AzurearchException unavailable(String reason) {
        return new AzurearchException(ErrorCode.PEER_UNAVAILABLE, mAddress + ": " + reason);
    }
}
