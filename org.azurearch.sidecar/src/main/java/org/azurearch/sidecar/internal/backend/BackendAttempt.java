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
    private @Nullable BackendRun mRun;
    private @Nullable BackendConnection mConnection;
    private @Nullable ScheduledFuture<?> mDeadlineTimer;
    private long mSentNanos;
    private boolean mHoldsSlot;

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
    void start(BackendRun run) {
        mState = State.STARTED;
        mRun = run;
        mHoldsSlot = true;
        run.attemptStarted(this);
        long leftMillis = (mCall.deadlineNanos() - System.nanoTime()) / NANOS_PER_MILLI;
        mDeadlineTimer =
                mDispatcher
                        .loop()
                        .schedule(
                                this::deadlinePassed,
                                Math.max(0, leftMillis) + DEADLINE_SLACK_MILLIS,
                                TimeUnit.MILLISECONDS);
        String id = mCall.header(mDispatcher.dialect().requestId());
        run.pool()
                .acquire(
                        idle -> idle.mayCarry(id),
                        !mCall.idempotent(),
                        System.nanoTime(),
                        connection -> connected(run, connection));
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
        failUnanswered(ErrorCode.DEADLINE_EXCEEDED, "no answer by the deadline");
    }

    /**
     * Ends a started attempt, as another run has taken the place of its backend server. The slot is
     * free even if a connection to the earlier run is still being opened.
     */
    void serverReplaced() {
        boolean pending = mState == State.STARTED;
        mState = State.DONE;
        if (pending) {
            abandon();
        }
        releaseSlot(false, 0);
        if (pending) {
            failUnanswered(ErrorCode.BACKEND_SERVER_FAILED, "the backend server was replaced");
        }
    }

    private void failUnanswered(ErrorCode code, String detail) {
        mListener.failed(
                mConnection == null
                        ? AttemptFailure.notSent(code, detail)
                        : AttemptFailure.unknown(code, detail));
    }

    /** Gives up the connection; one that is still being opened frees the slot once it is open. */
    private void abandon() {
        cancelDeadlineTimer();
        if (mConnection != null) {
            mConnection.abandon();
            returned(false);
            releaseSlot(false, 0);
        }
    }

    private void returned(boolean responded) {
        if (mRun != null) {
            mRun.requestReturned(mCall, mSentNanos, responded);
        }
    }

    /** Gives back the slot, once, and records the outcome. */
    private void releaseSlot(boolean failed, double workMillis) {
        if (mHoldsSlot && mRun != null) {
            mHoldsSlot = false;
            mRun.attemptEnded(this, failed, workMillis);
            mDispatcher.slotReleased(this);
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
                            workMillis()));
        }
    }

    private double workMillis() {
        return mRun == null ? 0 : mRun.performance().workMillis(mCall);
    }

    @Override
    public void failed(String reason) {
        BackendRun run = mRun;
        if (mState == State.STARTED && run != null) {
            end(true, 0);
            AttemptFailure failure =
                    AttemptFailure.unknown(ErrorCode.BACKEND_SERVER_FAILED, reason);
            mDispatcher.connectionLost(mCall, run, reason, () -> mListener.failed(failure));
        }
    }

    /**
     * Passes on the limit that an answer names. Only a signed answer without the header ends the
     * limit, as a rejection may come from a part that does not know it.
     */
    private void noteLimit(FullHttpResponse answer) {
        String value = answer.headers().get(mDispatcher.dialect().requestLimit());
        boolean signed = answer.headers().contains(mDispatcher.dialect().responseSignature());
        if (mRun != null && (value != null || signed)) {
            mDispatcher.limitNamed(mRun, value);
        }
    }

    private void noteLeaving(FullHttpResponse answer) {
        if (mRun != null
                && BackendAnswer.LEAVING.equals(
                        answer.headers().get(mDispatcher.dialect().leaving()))) {
            mDispatcher.leavingAnnounced(mRun);
        }
    }

    private void rejected(int status) {
        end(true, 0);
        if (status == HttpResponseStatus.MISDIRECTED_REQUEST.code() && mRun != null) {
            mDispatcher.reportReplaced(mRun);
        }
        mListener.failed(
                AttemptFailure.rejected(
                        ErrorCode.OVERLOADED,
                        "the backend server rejected the request with status " + status));
    }

    private void connected(BackendRun run, @Nullable BackendConnection connection) {
        if (mState == State.DONE) {
            if (connection != null) {
                connection.close();
            }
            releaseSlot(false, 0);
            return;
        }
        if (run.ended()) {
            if (connection != null) {
                connection.close();
            }
            serverReplaced();
            return;
        }
        if (connection == null) {
            end(true, 0);
            mDispatcher.reportUnreachable(run);
            mListener.failed(
                    AttemptFailure.notSent(
                            ErrorCode.NO_BACKEND_SERVER, "the backend server cannot be reached"));
            return;
        }
        mConnection = connection;
        mSentNanos = System.nanoTime();
        run.requestSent(mCall, mSentNanos);
        connection.send(request(run.heartbeat()), this);
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
            returned(true);
        }
        releaseSlot(failed, workMillis);
    }
}
