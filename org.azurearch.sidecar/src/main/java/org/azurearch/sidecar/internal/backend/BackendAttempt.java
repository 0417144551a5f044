package org.azurearch.sidecar.internal.backend;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Set;
import org.azurearch.errors.ErrorCode;
import org.azurearch.sidecar.Dialect;
import org.azurearch.sidecar.admit.QueuedRequest;
import org.azurearch.sidecar.call.Attempt;
import org.azurearch.sidecar.call.AttemptFailure;
import org.azurearch.sidecar.call.BackendAnswer;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.internal.HeaderList;
import org.azurearch.sidecar.member.Heartbeat;
import org.jspecify.annotations.Nullable;

/** A call at the node in front of its backend server. */
final class BackendAttempt implements Attempt, BackendConnection.Exchange {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double NANOS_PER_MILLI_EXACT = 1e6;

    private enum State {
        WAITING,
        STARTED,
        DONE
    }

    private final BackendDesk mDesk;
    private final HopCall mCall;
    private final Listener mSink;
    private final QueuedRequest mQueued;
    private State mState = State.WAITING;
    private @Nullable Heartbeat mBackend;
    private @Nullable BackendConnection mConnection;
    private long mSentNanos;

    BackendAttempt(BackendDesk desk, HopCall call, Listener sink, QueuedRequest queued) {
        mDesk = desk;
        mCall = call;
        mSink = sink;
        mQueued = queued;
    }

    HopCall call() {
        return mCall;
    }

    QueuedRequest queued() {
        return mQueued;
    }

    /** Takes the slot that the queue has given. */
    void start(Heartbeat backend) {
        mState = State.STARTED;
        mBackend = backend;
        mDesk.pool().acquire(!mCall.idempotent(), System.nanoTime(), this::connected);
    }

    /** Ends without having been sent. */
    void refused(AttemptFailure failure) {
        if (mState == State.WAITING) {
            mState = State.DONE;
            mDesk.loop().execute(() -> mSink.failed(failure));
        }
    }

    @Override
    public void cancel() {
        State before = mState;
        mState = State.DONE;
        if (before == State.WAITING) {
            mDesk.cancelWaiting(this);
        } else if (before == State.STARTED) {
            if (mConnection != null) {
                mConnection.abandon();
                mDesk.returned(mSentNanos);
                mDesk.ended(this, false, 0);
            }
        }
    }

    @Override
    public void answered(FullHttpResponse answer) {
        double millis = (System.nanoTime() - mSentNanos) / NANOS_PER_MILLI_EXACT;
        int status = answer.status().code();
        Dialect dialect = mDesk.dialect();
        if (answer.headers().contains(dialect.notRun())
                || status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
            rejected(status);
        } else if (!answer.headers().contains(dialect.responseSignature())
                || answer.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
            end(true, 0);
            mSink.failed(
                    AttemptFailure.unknown(
                            ErrorCode.BACKEND_SERVER_FAILED,
                            "answer " + status + " is not the backend server's own"));
        } else {
            end(BackendAnswer.failed(status), millis);
            mSink.answered(
                    new BackendAnswer(
                            status,
                            HeaderList.onward(answer.headers(), Set.of()),
                            ByteBufUtil.getBytes(answer.content()),
                            mDesk.workMillis(mCall)));
        }
    }

    @Override
    public void broken(String reason) {
        if (mState == State.STARTED) {
            end(true, 0);
            mSink.failed(AttemptFailure.unknown(ErrorCode.BACKEND_SERVER_FAILED, reason));
        }
    }

    private void rejected(int status) {
        end(true, 0);
        Heartbeat backend = mBackend;
        if (status == HttpResponseStatus.MISDIRECTED_REQUEST.code() && backend != null) {
            mDesk.replaced(backend);
        }
        mSink.failed(
                AttemptFailure.rejected(
                        ErrorCode.OVERLOADED, "the backend server rejected it with " + status));
    }

    private void connected(@Nullable BackendConnection connection) {
        Heartbeat backend = mBackend;
        if (mState == State.DONE || backend == null) {
            if (connection != null) {
                connection.close();
            }
            mDesk.ended(this, false, 0);
            return;
        }
        if (connection == null) {
            end(true, 0);
            mDesk.unreachable(backend);
            mSink.failed(
                    AttemptFailure.notSent(
                            ErrorCode.NO_BACKEND_SERVER, "the backend server cannot be reached"));
            return;
        }
        mConnection = connection;
        mSentNanos = System.nanoTime();
        mDesk.sent(mSentNanos);
        connection.send(request(backend), this);
    }

    private FullHttpRequest request(Heartbeat backend) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(mCall.method()),
                        mCall.target(),
                        Unpooled.wrappedBuffer(mCall.body()));
        HeaderList.add(request.headers(), mCall.headers());
        Dialect dialect = mDesk.dialect();
        long left = Math.max(1, (mCall.deadlineNanos() - mSentNanos) / NANOS_PER_MILLI);
        request.headers().set(dialect.deadlineMillis(), Long.toString(left));
        request.headers().set(dialect.expectedInstance(), backend.instance());
        if (mCall.body().length > 0 || !HttpMethod.GET.name().equals(mCall.method())) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, mCall.body().length);
        }
        return request;
    }

    private void end(boolean failed, double workMillis) {
        mState = State.DONE;
        if (mConnection != null) {
            mDesk.returned(mSentNanos);
        }
        mDesk.ended(this, failed, workMillis);
    }
}
