package org.azurearch.internal.call;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.Deque;
import org.azurearch.call.CallFailure;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * An exchange over one upstream connection.
 *
 * <p>The request counts as sent once the whole head has been written to the socket: a server that
 * has received less cannot have run it. A connection whose exchange did not complete normally is
 * closed, so that a late answer is never taken for the answer to another request.
 */
final class UpstreamExchange implements Exchange {
    private final ConnectionPool mPool;
    private final HttpRequest mHead;
    private final String mCallId;
    private final AnswerSink mSink;
    private final ErrorCode mFailureCode;
    private final Deque<HttpContent> mPending = new ArrayDeque<>();
    private @Nullable UpstreamConnection mConnection;
    private boolean mStarting;
    private boolean mHeadSent;
    private boolean mRequestEnded;
    private boolean mAnswerStarted;
    private boolean mKeepAlive;
    private boolean mDone;

    /**
     * Creates an exchange.
     *
     * @param pool provides the connection
     * @param head the request's head
     * @param callId the id that an answer to the request names, if any
     * @param sink receives the answer
     * @param failureCode the code reported when the connection fails
     */
    UpstreamExchange(
            ConnectionPool pool,
            HttpRequest head,
            long callId,
            AnswerSink sink,
            ErrorCode failureCode) {
        mPool = pool;
        mHead = head;
        mCallId = Long.toString(callId);
        mSink = sink;
        mFailureCode = failureCode;
    }

    @Override
    public void start() {
        mStarting = true;
        mPool.acquire(this);
        mStarting = false;
    }

    @Override
    public void body(HttpContent content) {
        UpstreamConnection connection = mConnection;
        if (mDone) {
            content.release();
        } else if (connection == null) {
            mPending.add(content);
        } else {
            write(connection.channel(), content);
        }
    }

    @Override
    public void flush() {
        if (!mDone && mConnection != null) {
            mConnection.channel().flush();
        }
    }

    @Override
    public boolean writable() {
        UpstreamConnection connection = mConnection;
        return mDone || (connection != null && connection.channel().isWritable());
    }

    @Override
    public void pauseAnswer(boolean paused) {
        if (!mDone && mConnection != null && mConnection.channel().isActive()) {
            mConnection.channel().config().setAutoRead(!paused);
        }
    }

    @Override
    public Verdict cancel() {
        if (!mDone) {
            abandon();
        }
        return sentVerdict();
    }

    void onConnection(UpstreamConnection connection) {
        if (mDone) {
            mPool.release(connection);
            return;
        }
        mConnection = connection;
        connection.begin(this, mHead.method(), mCallId);
        Channel channel = connection.channel();
        channel.write(mHead).addListener(written -> mHeadSent = written.isSuccess());
        for (HttpContent next = mPending.poll(); next != null; next = mPending.poll()) {
            write(channel, next);
        }
        if (!mStarting) {
            channel.flush();
        }
        if (!mDone && channel.isWritable()) {
            mSink.requestWritable();
        }
    }

    void onNoConnection(String reason) {
        if (!mDone) {
            fail(reason);
        }
    }

    void onHead(HttpResponse head) {
        if (mDone) {
            return;
        }
        if (head.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            onMalformed("the server switched protocols without a request");
        } else if (!framed(head)) {
            onMalformed("the answer has neither Content-Length nor chunked coding");
        } else {
            mAnswerStarted = true;
            mKeepAlive = HttpUtil.isKeepAlive(head);
            mSink.answerHead(head);
        }
    }

    void onContent(HttpContent content) {
        if (mDone || !mAnswerStarted) {
            content.release();
            return;
        }
        if (content instanceof LastHttpContent) {
            finish();
        }
        mSink.answerBody(content);
    }

    void onReadComplete() {
        if (!mDone) {
            mSink.answerFlush();
        }
    }

    void onWritable() {
        if (!mDone) {
            mSink.requestWritable();
        }
    }

    void onMalformed(String reason) {
        if (!mDone) {
            fail(reason);
        }
    }

    void onClosed() {
        if (!mDone) {
            fail(
                    mAnswerStarted
                            ? "the connection was lost during the answer"
                            : "the connection was lost");
        }
    }

    private void fail(String reason) {
        abandon();
        mSink.failed(CallFailure.of(sentVerdict(), mFailureCode, reason));
    }

    private void finish() {
        mDone = true;
        UpstreamConnection connection = mConnection;
        if (connection == null) {
            return;
        }
        boolean reusable = connection.end();
        if (mRequestEnded && mKeepAlive && reusable) {
            connection.channel().config().setAutoRead(true);
            mPool.release(connection);
        } else {
            connection.channel().close();
        }
    }

    private void abandon() {
        mDone = true;
        releasePending();
        if (mConnection != null) {
            mConnection.end();
            mConnection.channel().close();
        }
    }

    private void write(Channel channel, HttpContent content) {
        mRequestEnded |= content instanceof LastHttpContent;
        channel.write(content, channel.voidPromise());
    }

    private void releasePending() {
        mPending.forEach(HttpContent::release);
        mPending.clear();
    }

    private Verdict sentVerdict() {
        return mHeadSent ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
    }

    private boolean framed(HttpResponse head) {
        int status = head.status().code();
        return mHead.method().equals(HttpMethod.HEAD)
                || status == HttpResponseStatus.NO_CONTENT.code()
                || status == HttpResponseStatus.NOT_MODIFIED.code()
                || HttpUtil.isTransferEncodingChunked(head)
                || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    }
}
