package org.azurearch.standin.load;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Arrays;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.azurearch.call.CallHeaders;
import org.jspecify.annotations.Nullable;

/** A connection that carries one request at a time. Confined to its event loop. */
final class LoadConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private static final int FIRST_ERROR_STATUS = 400;

    private final LoadPool mPool;
    private @Nullable Channel mChannel;
    private @Nullable LoadRequest mRequest;
    private @Nullable ScheduledFuture<?> mTimeout;

    LoadConnection(LoadPool pool) {
        mPool = pool;
    }

    void send(Channel channel, LoadRequest request) {
        mChannel = channel;
        mRequest = request;
        mTimeout =
                channel.eventLoop()
                        .schedule(
                                () -> onTimeout(request),
                                mPool.plan().timeout().toNanos(),
                                TimeUnit.NANOSECONDS);
        channel.writeAndFlush(request.httpRequest(mPool.plan().seed()));
    }

    boolean idle() {
        return mRequest == null && mChannel != null && mChannel.isActive();
    }

    Channel channel() {
        if (mChannel == null) {
            throw new IllegalStateException("no request has been sent yet");
        }
        return mChannel;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
        LoadRequest request = mRequest;
        if (request == null) {
            context.close();
            return;
        }
        boolean malformed = response.decoderResult().isFailure();
        boolean keepAlive = !malformed && HttpUtil.isKeepAlive(response);
        complete(malformed ? LoadOutcome.LOST : outcome(request, response));
        if (keepAlive) {
            mPool.release(this);
        } else {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        complete(LoadOutcome.LOST);
        mPool.connectionClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    private LoadOutcome outcome(LoadRequest request, FullHttpResponse response) {
        if (response.status().code() < FIRST_ERROR_STATUS) {
            byte[] body = ByteBufUtil.getBytes(response.content());
            return Arrays.equals(body, request.expectedAnswer(mPool.plan().seed()))
                    ? LoadOutcome.OK
                    : LoadOutcome.WRONG_ANSWER;
        }
        mPool.countErrorCode(response.headers().get(CallHeaders.CODE, "none"));
        String verdict = response.headers().get(CallHeaders.VERDICT, "");
        return switch (verdict) {
            case "not-run" -> LoadOutcome.NOT_RUN;
            case "may-have-run" -> LoadOutcome.MAY_HAVE_RUN;
            default -> LoadOutcome.FAILED;
        };
    }

    private void onTimeout(LoadRequest request) {
        if (mRequest == request) {
            complete(LoadOutcome.TIMED_OUT);
            channel().close();
        }
    }

    private void complete(LoadOutcome outcome) {
        LoadRequest request = mRequest;
        if (request == null) {
            return;
        }
        mRequest = null;
        if (mTimeout != null) {
            mTimeout.cancel(false);
        }
        mPool.attemptEnded(request, outcome);
    }
}
