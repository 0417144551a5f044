package org.azurearch.sidecar.internal.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;

/**
 * Copies a body that comes in more than two pieces to blocks of equal size. Without it, each piece
 * keeps the whole buffer that it was read into, which may be many times its size.
 */
final class BodyBlocks extends ChannelInboundHandlerAdapter {
    private static final int BLOCK_BYTES = 64 * 1024;

    private @Nullable ByteBuf mBlock;
    private int mPieces;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpResponse) {
            mPieces = 0;
        } else if (message instanceof HttpContent content && copies(content)) {
            copy(context, content.content());
            content.release();
            return;
        }
        flush(context);
        context.fireChannelRead(message);
    }

    /** Returns whether a piece is neither the first nor the last of its body. */
    private boolean copies(HttpContent piece) {
        return mPieces++ > 0
                && !(piece instanceof LastHttpContent)
                && piece.decoderResult().isSuccess();
    }

    private void copy(ChannelHandlerContext context, ByteBuf piece) {
        while (piece.isReadable()) {
            ByteBuf block = mBlock;
            if (block == null) {
                // In the pool, a block would keep the chunk that it shares with read buffers.
                block = Unpooled.directBuffer(BLOCK_BYTES, BLOCK_BYTES);
                mBlock = block;
            }
            block.writeBytes(piece, Math.min(piece.readableBytes(), block.writableBytes()));
            if (!block.isWritable()) {
                flush(context);
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        flush(context);
        context.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        ByteBuf block = mBlock;
        mBlock = null;
        if (block != null) {
            block.release();
        }
    }

    private void flush(ChannelHandlerContext context) {
        ByteBuf block = mBlock;
        mBlock = null;
        if (block != null) {
            context.fireChannelRead(new DefaultHttpContent(block));
        }
    }
}
