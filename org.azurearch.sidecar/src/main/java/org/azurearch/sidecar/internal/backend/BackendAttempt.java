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
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Set;
import java.util.concurrent.TimeUnit;
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

/** An attempt to run a call on the backend server behind this node. */
final class BackendAttempt implements Attempt, BackendConnection.ResponseListener {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double NANOS_PER_MILLI_EXACT = 1e6;

    /**
     * Time after the deadline at which an attempt ends by itself. The backend server is told the
     * deadline too, and its own answer at that time comes first.
     */
    private static final long DEADLINE_SLACK_MILLIS = 100;

    private enum State {
        WAITING,
        STARTED,
        DONE
    }

    private final BackendDispatcher mDispatcher;
    private final HopCall mCall;
    private final Listener mListener;
    private final QueuedRequest mQueued;
    private State mState = State.WAITING;
    private @Nullable Heartbeat mBackend;
    private @Nullable BackendConnection mConnection;
    private @Nullable ScheduledFuture<?> mDeadlineTimer;
    private long mSentNanos;

    BackendAttempt(
            BackendDispatcher dispatcher, HopCall call, Listener listener, QueuedRequest queued) {
        mDispatcher = dispatcher;
        mCall = call;
        mListener = listener;
        mQueued = queued;
    }

    HopCall call() {
        return mCall;
    }

    QueuedRequest queued() {
        return mQueued;
    }

    /** Starts the attempt in the slot that the queue assigned. */
    void start(Heartbeat backend) {
        mState = State.STARTED;
        mBackend = backend;
        long leftMillis = (mCall.deadlineNanos() - System.nanoTime()) / NANOS_PER_MILLI;
        mDeadlineTimer =
                mDispatcher
                        .loop()
                        .schedule(
                                this::deadlinePassed,
                                Math.max(0, leftMillis) + DEADLINE_SLACK_MILLIS,
                                TimeUnit.MILLISECONDS);
        String id = mCall.header(mDispatcher.dialect().requestId());
        mDispatcher
                .pool()
                .acquire(
                        idle -> idle.mayCarry(id),
                        !mCall.idempotent(),
                        System.nanoTime(),
                        this::connected);
    }

    /** Ends a waiting attempt, which has not been sent. */
    void refuse(AttemptFailure failure) {
        if (mState == State.WAITING) {
            mState = State.DONE;
            mDispatcher.loop().execute(() -> mListener.failed(failure));
        }
    }

    /** Cancels the attempt. A request without a connection has not been sent and never will be. */
    @Override
    public boolean cancel() {
        State before = mState;
        mState = State.DONE;
        if (before == State.WAITING) {
            mDispatcher.cancelWaiting(this);
        } else if (before == State.STARTED) {
            abandon();
        }
        return mConnection == null;
    }

    /**
     * Ends a started attempt whose caller no longer waits, as the node that would cancel it may be
     * out of reach. Does not count as a failure of the backend server.
     */
    private void deadlinePassed() {
        if (mState != State.STARTED) {
            return;
        }
        mState = State.DONE;
        abandon();
        String detail = "no answer by the deadline";
        mListener.failed(
                mConnection == null
                        ? AttemptFailure.notSent(ErrorCode.DEADLINE_EXCEEDED, detail)
                        : AttemptFailure.unknown(ErrorCode.DEADLINE_EXCEEDED, detail));
    }

    /** Gives up the connection; one that is still being opened frees the slot once it is open. */
    private void abandon() {
        cancelDeadlineTimer();
        if (mConnection != null) {
            mConnection.abandon();
            mDispatcher.attemptReturned(mCall, mSentNanos, false);
            mDispatcher.attemptEnded(this, false, 0);
        }
    }

    private void cancelDeadlineTimer() {
        if (mDeadlineTimer != null) {
            mDeadlineTimer.cancel(false);
        }
    }

    @Override
    public void withdraw() {
        if (mState == State.WAITING) {
            mDispatcher.cancelWaiting(this);
            refuse(AttemptFailure.stopping());
        }
    }

    @Override
    public void answered(FullHttpResponse answer) {
        double millis = (System.nanoTime() - mSentNanos) / NANOS_PER_MILLI_EXACT;
        int status = answer.status().code();
        Dialect dialect = mDispatcher.dialect();
        noteLimit(answer);
        noteLeaving(answer);
        if (BackendConnection.refuses(dialect, answer)) {
            rejected(status);
        } else if (!answer.headers().contains(dialect.responseSignature())
                || answer.headers().contains(dialect.notRun())
                || answer.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
            end(true, 0);
            mListener.failed(
                    AttemptFailure.unknown(
                            ErrorCode.BACKEND_SERVER_FAILED,
                            "answer " + status + " was not produced by the backend server"));
        } else {
            end(BackendAnswer.failed(status), millis);
            if (!BackendAnswer.failed(status)) {
                mDispatcher.completed(mCall);
            }
            mListener.answered(
                    new BackendAnswer(
                            status,
                            HeaderList.endToEnd(answer.headers(), Set.of()),
                            ByteBufUtil.getBytes(answer.content()),
                            mDispatcher.workMillis(mCall)));
        }
    }

    @Override
    public void failed(String reason) {
        Heartbeat backend = mBackend;
        if (mState == State.STARTED && backend != null) {
            end(true, 0);
            AttemptFailure failure =
                    AttemptFailure.unknown(ErrorCode.BACKEND_SERVER_FAILED, reason);
            mDispatcher.connectionLost(mCall, backend, reason, () -> mListener.failed(failure));
        }
    }

    /**
     * Passes on the limit that an answer names. Only a signed answer without the header ends the
     * limit, as a rejection may come from a part that does not know it.
     */
    private void noteLimit(FullHttpResponse answer) {
        Heartbeat backend = mBackend;
        String value = answer.headers().get(mDispatcher.dialect().requestLimit());
        boolean signed = answer.headers().contains(mDispatcher.dialect().responseSignature());
        if (backend != null && (value != null || signed)) {
            mDispatcher.limitNamed(backend, value);
        }
    }

    private void noteLeaving(FullHttpResponse answer) {
        Heartbeat backend = mBackend;
        if (backend != null
                && BackendAnswer.LEAVING.equals(
                        answer.headers().get(mDispatcher.dialect().leaving()))) {
            mDispatcher.leavingAnnounced(backend);
        }
    }

    private void rejected(int status) {
        end(true, 0);
        Heartbeat backend = mBackend;
        if (status == HttpResponseStatus.MISDIRECTED_REQUEST.code() && backend != null) {
            mDispatcher.reportReplaced(backend);
        }
        mListener.failed(
                AttemptFailure.rejected(
                        ErrorCode.OVERLOADED,
                        "the backend server rejected the request with status " + status));
    }

    private void connected(@Nullable BackendConnection connection) {
        Heartbeat backend = mBackend;
        if (mState == State.DONE || backend == null) {
            if (connection != null) {
                connection.close();
            }
            mDispatcher.attemptEnded(this, false, 0);
            return;
        }
        if (connection == null) {
            end(true, 0);
            mDispatcher.reportUnreachable(backend);
            mListener.failed(
                    AttemptFailure.notSent(
                            ErrorCode.NO_BACKEND_SERVER, "the backend server cannot be reached"));
            return;
        }
        mConnection = connection;
        mSentNanos = System.nanoTime();
        mDispatcher.attemptSent(mCall, mSentNanos);
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
        Dialect dialect = mDispatcher.dialect();
        long remaining = Math.max(1, (mCall.deadlineNanos() - mSentNanos) / NANOS_PER_MILLI);
        request.headers().set(dialect.deadlineMillis(), Long.toString(remaining));
        request.headers().set(dialect.expectedInstance(), backend.instance());
        if (mCall.body().length > 0 || !HttpMethod.GET.name().equals(mCall.method())) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, mCall.body().length);
        }
        return request;
    }

    private void end(boolean failed, double workMillis) {
        mState = State.DONE;
        cancelDeadlineTimer();
        if (mConnection != null) {
            mDispatcher.attemptReturned(mCall, mSentNanos, true);
        }
        mDispatcher.attemptEnded(this, failed, workMillis);
    }
}
