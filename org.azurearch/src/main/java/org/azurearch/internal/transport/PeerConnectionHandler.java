package org.azurearch.internal.transport;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.azurearch.errors.AzurearchException;
import org.azurearch.events.EventLog;
import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.PeerRequest;

/** Server side of one connection; runs on the event loop of the connection. */
final class PeerConnectionHandler extends SimpleChannelInboundHandler<byte[]> {
    private final PeerServerContext mContext;
    private boolean mCounted;
    private boolean mAuthenticated;
    private int mInFlight;

    PeerConnectionHandler(PeerServerContext context) {
        mContext = context;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        mCounted = mContext.connectionLimiter().tryAcquire(addressOf(ctx));
        if (!mCounted) {
            EventLog.log(TransportEvent.PEER_CONNECTION_REFUSED, addressOf(ctx));
            ctx.close();
            return;
        }
        ctx.executor()
                .schedule(
                        () -> closeUnlessAuthenticated(ctx),
                        mContext.limits().authenticationTimeout().toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (mCounted) {
            mContext.connectionLimiter().release(addressOf(ctx));
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, byte[] frame) {
        ThriftCodec.Envelope envelope = mContext.codec().decode(frame, true);
        Sealer.OpenedRequest opened;
        try {
            opened = mContext.sealer().openRequest(envelope.sealed());
        } catch (AzurearchException e) {
            refuseUnauthenticated(ctx, envelope, e);
            return;
        }
        mAuthenticated = true;
        PeerRequest request = mContext.codec().decodeRequest(opened.plain());
        PeerRequest._Fields kind = request.getSetField();
        mContext.byteCounters().countReceived(kind, frame.length + FramePipeline.LENGTH_BYTES);
        dispatch(ctx, new ReplyContext(envelope.sequence(), kind, opened.binding()), request);
    }

    /** The data of a request that is needed to send its reply. */
    private record ReplyContext(
            int sequence, PeerRequest._Fields kind, Sealer.ReplyBinding binding) {}

    private void dispatch(
            ChannelHandlerContext ctx, ReplyContext replyContext, PeerRequest request) {
        if (mInFlight >= mContext.limits().maxInFlightPerPeer()) {
            write(ctx, replyContext, PeerDispatcher.busyReply());
            return;
        }
        mInFlight++;
        mContext.dispatcher()
                .dispatch(request)
                .thenAccept(
                        reply -> ctx.executor().execute(() -> complete(ctx, replyContext, reply)));
    }

    private void complete(ChannelHandlerContext ctx, ReplyContext replyContext, PeerReply reply) {
        mInFlight--;
        write(ctx, replyContext, reply);
    }

    private void write(ChannelHandlerContext ctx, ReplyContext replyContext, PeerReply reply) {
        byte[] sealed =
                mContext.sealer().sealReply(replyContext.binding(), mContext.codec().encode(reply));
        byte[] frame = mContext.codec().encodeReply(replyContext.sequence(), sealed);
        mContext.byteCounters()
                .countSent(replyContext.kind(), frame.length + FramePipeline.LENGTH_BYTES);
        ctx.writeAndFlush(frame);
    }

    /** Suspends reading from a peer that does not read its replies. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        ctx.channel().config().setAutoRead(ctx.channel().isWritable());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof IdleStateEvent) {
            ctx.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        EventLog.log(
                TransportEvent.PEER_CONNECTION_FAILED,
                ctx.channel().remoteAddress(),
                cause.toString());
        ctx.close();
    }

    private void refuseUnauthenticated(
            ChannelHandlerContext ctx, ThriftCodec.Envelope envelope, AzurearchException cause) {
        EventLog.log(
                TransportEvent.PEER_UNAUTHENTICATED,
                addressOf(ctx),
                String.valueOf(cause.getMessage()));
        mContext.unauthenticated().inc();
        ctx.writeAndFlush(mContext.codec().encodeRefusal(envelope.sequence()))
                .addListener(ChannelFutureListener.CLOSE);
    }

    private void closeUnlessAuthenticated(ChannelHandlerContext ctx) {
        if (!mAuthenticated) {
            ctx.close();
        }
    }

    private static InetAddress addressOf(ChannelHandlerContext ctx) {
        return ((InetSocketAddress) ctx.channel().remoteAddress()).getAddress();
    }
}
