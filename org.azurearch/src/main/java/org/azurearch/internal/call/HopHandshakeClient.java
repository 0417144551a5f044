package org.azurearch.internal.call;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.time.Duration;
import java.util.function.Consumer;
import org.azurearch.lib.NodeId;
import org.azurearch.time.TimerService;
import org.jspecify.annotations.Nullable;

/** Client side of the handshake; verifies that a new connection leads to the expected node. */
final class HopHandshakeClient implements ConnectionSetup {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final int HELLO_PARTS = 3;

    private final CallWorker mWorker;
    private final NodeId mNode;
    private final TimerService mTimers;
    private final TlsContexts mTls;

    HopHandshakeClient(CallWorker worker, NodeId node, TimerService timers, TlsContexts tls) {
        mWorker = worker;
        mNode = node;
        mTimers = timers;
        mTls = tls;
    }

    @Override
    public void addTlsHandler(Channel channel) {
        mTls.addClientHandler(channel);
    }

    @Override
    public void prepare(Channel channel, Consumer<@Nullable String> done) {
        Handshake handshake = new Handshake(done);
        channel.pipeline().addLast(handshake);
        handshake.begin(channel);
    }

    /** The handshake on one connection; removes itself from the pipeline when it ends. */
    private final class Handshake extends SimpleChannelInboundHandler<HttpObject> {
        private final Consumer<@Nullable String> mDone;
        private final String mNonce = mWorker.nonce();
        private TimerService.@Nullable ScheduledTask mTimeout;
        private @Nullable HttpResponse mHead;
        private boolean mSentProof;
        private boolean mEnded;

        Handshake(Consumer<@Nullable String> done) {
            mDone = done;
        }

        void begin(Channel channel) {
            mTimeout =
                    mTimers.after(
                            TIMEOUT,
                            () -> mWorker.run(() -> end(channel, "the handshake timed out")));
            send(channel, HopHandshake.HELLO, mWorker.nodeName() + " " + mNonce);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (message instanceof HttpResponse head) {
                mHead = head;
            }
            if (message instanceof LastHttpContent && mHead != null) {
                onAnswer(context.channel(), mHead);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            end(context.channel(), "the connection was closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            end(context.channel(), String.valueOf(cause.getMessage()));
        }

        private void onAnswer(Channel channel, HttpResponse head) {
            if (mSentProof) {
                boolean accepted = head.status().equals(HttpResponseStatus.NO_CONTENT);
                end(channel, accepted ? null : "the node rejected the handshake");
                return;
            }
            String[] hello = head.headers().get(HopHandshake.HELLO, "").split(" ");
            if (hello.length != HELLO_PARTS) {
                end(channel, "the answer is not that of a handshake");
                return;
            }
            HopHandshake handshake =
                    new HopHandshake(mWorker.nodeName(), mNonce, hello[0], hello[1]);
            if (!handshake.verifiesServer(mWorker.signer(), mNode, hello[2])) {
                end(channel, "the server is not authenticated as node " + mNode);
                return;
            }
            mSentProof = true;
            send(channel, HopHandshake.PROOF, handshake.clientProof(mWorker.signer()));
        }

        private void end(Channel channel, @Nullable String failure) {
            if (mEnded) {
                return;
            }
            mEnded = true;
            if (mTimeout != null) {
                mTimeout.cancel();
            }
            if (channel.isActive()) {
                channel.pipeline().remove(this);
            }
            mDone.accept(failure);
        }
    }

    private static void send(Channel channel, String header, String value) {
        HttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, HopHandshake.PATH);
        request.headers().set(HttpHeaderNames.HOST, "azurearch");
        request.headers().set(header, value);
        channel.writeAndFlush(request);
    }
}
