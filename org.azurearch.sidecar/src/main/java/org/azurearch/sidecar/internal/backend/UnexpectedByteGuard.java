package org.azurearch.sidecar.internal.backend;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/** Closes a connection to the backend server on which bytes arrive without a request. */
final class UnexpectedByteGuard extends ChannelInboundHandlerAdapter {
    private final BackendConnection mConnection;

    UnexpectedByteGuard(BackendConnection connection) {
        mConnection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mConnection.unexpectedBytes()) {
            ReferenceCountUtil.release(message);
            mConnection.close();
        } else {
            context.fireChannelRead(message);
        }
    }
}
