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
 * Client side of the connection to one peer. Fields that are not thread-safe are used only on the
 * event loop of the connection.
 */
final class PeerConnection extends SimpleChannelInboundHandler<byte[]> {
    /** A request that waits for its reply. */
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

    /** Returns the address of the peer. */
    NetAddress address() {
        return mAddress;
    }

    /** Counts a request and returns true if that stays within the limit; safe on any thread. */
    boolean tryReserve(int limit) {
        if (mInFlight.incrementAndGet() <= limit) {
            return true;
        }
        mInFlight.decrementAndGet();
        return false;
    }

    /** Releases the count of a completed request; safe on any thread. */
    void release() {
        mInFlight.decrementAndGet();
    }

    /** Writes a request once the connection is established; safe on any thread. */
    void send(
            ChannelFuture connectFuture, PeerRequest request, CompletableFuture<PeerReply> reply) {
        connectFuture.addListener(
                future -> {
                    if (future.isSuccess()) {
                        write(connectFuture.channel(), request, reply);
                    } else {
                        reply.completeExceptionally(unavailable("cannot connect"));
                        mOnClosed.accept(this);
                    }
                });
    }

    /** Fails a timed-out request; closes the connection if no frame arrived since it was sent. */
    void expire(Channel channel, CompletableFuture<PeerReply> reply) {
        channel.eventLoop()
                .execute(
                        () -> {
                            boolean silent = removeExpired(reply);
                            if (silent) {
                                channel.close();
                            }
                        });
        reply.completeExceptionally(unavailable("request timed out"));
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

    /** Removes a request; returns true if no frame arrived since it was sent. */
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
                    ErrorCode.PEER_UNAUTHENTICATED, mAddress + " rejected the shared key");
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
