package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import org.azurearch.call.CallFailure;
import org.azurearch.call.CallHeaders;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.Verdict;
import org.jspecify.annotations.Nullable;

/** A call received from a caller or from a peer. Confined to one event loop. */
abstract class InboundCall implements AnswerSink {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final CallerHandler mCaller;
    private final CallWorker mWorker;
    private final HttpRequest mRequest;
    private final long mStartedNanos;
    private long mDeadlineNanos;
    private long mBodyBytes;
    private @Nullable Exchange mExchange;
    private boolean mAnswerStarted;
    private boolean mBodyEnded;
    private boolean mCallerDisconnected;
    private boolean mDone;

    InboundCall(CallerHandler caller, CallWorker worker, HttpRequest request, long deadlineMillis) {
        mCaller = caller;
        mWorker = worker;
        mRequest = request;
        mStartedNanos = worker.nanos();
        mDeadlineNanos = mStartedNanos + deadlineMillis * NANOS_PER_MILLI;
        worker.add(this);
    }

    /** Starts the call. */
    abstract void start();

    /** Adds headers to the head of an answer. */
    abstract void addAnswerHeaders(HttpHeaders headers);

    /** Handles a failure that occurs before the answer has started. */
    abstract void onFailure(CallFailure failure);

    /** Returns whether more of the request's body should be read now. */
    abstract boolean acceptsBody();

    /** Handles a part of the request's body; takes over the reference. */
    abstract void onBody(HttpContent content);

    /** Handles the head of the answer; no retry follows. */
    abstract void onAnswer(HttpResponse head);

    /** Handles a part of the answer's body; the caller of the method keeps the reference. */
    abstract void onAnswerBody(HttpContent content);

    /** Returns the verdict of the call, given that of its last attempt. */
    abstract Verdict callVerdict(Verdict lastAttempt);

    /** Returns whether the call continues after its caller has disconnected. */
    abstract boolean continuesWithoutCaller();

    /** Handles the end of the call; {@code code} is null if it was answered. */
    abstract void onEnd(Verdict verdict, @Nullable ErrorCode code);

    final CallWorker worker() {
        return mWorker;
    }

    final HttpRequest request() {
        return mRequest;
    }

    final @Nullable Exchange exchange() {
        return mExchange;
    }

    final void exchange(@Nullable Exchange exchange) {
        mExchange = exchange;
    }

    final long startedNanos() {
        return mStartedNanos;
    }

    final void deadline(long deadlineMillis) {
        mDeadlineNanos = mStartedNanos + deadlineMillis * NANOS_PER_MILLI;
    }

    /** Returns the time until the deadline, in milliseconds. */
    final long remainingMillis() {
        return (mDeadlineNanos - mWorker.nanos()) / NANOS_PER_MILLI;
    }

    /** Returns whether the whole request has arrived. */
    final boolean bodyEnded() {
        return mBodyEnded;
    }

    /** Returns whether the call has ended. */
    public final boolean done() {
        return mDone;
    }

    /** Handles a part of the request's body; takes over the reference. */
    final void body(HttpContent content) {
        if (mDone) {
            content.release();
            return;
        }
        mBodyEnded |= content instanceof LastHttpContent;
        mBodyBytes += content.content().readableBytes();
        if (mBodyBytes > mWorker.settings().maxBodyBytes()) {
            content.release();
            cancelAndFail(ErrorCode.TOO_LARGE, "the request's body is larger than the limit");
            return;
        }
        onBody(content);
        if (!mDone && !mBodyEnded && !acceptsBody()) {
            mCaller.pauseRequest(true);
        }
    }

    final void requestFlush() {
        if (mExchange != null) {
            mExchange.flush();
        }
    }

    final void pauseAnswer(boolean paused) {
        if (mExchange != null) {
            mExchange.pauseAnswer(paused);
        }
    }

    /** Fails the call because the framing of its body is malformed. */
    final void requestMalformed() {
        cancelAndFail(ErrorCode.BAD_REQUEST, "the request's body is malformed");
    }

    /**
     * Handles that the caller's connection was closed: cancels the call unless it has to continue.
     */
    final void callerDisconnected() {
        if (mDone) {
            return;
        }
        if (continuesWithoutCaller()) {
            mCallerDisconnected = true;
            pauseAnswer(false);
            return;
        }
        Verdict verdict = cancelExchange();
        end(verdict, ErrorCode.CANCELLED);
    }

    /** Ends the call when its deadline has passed. */
    final void checkDeadline(long nowNanos) {
        if (!mDone && nowNanos - mDeadlineNanos >= 0) {
            cancelAndFail(ErrorCode.DEADLINE_EXCEEDED, "the deadline of the call has passed");
        }
    }

    @Override
    public final void answerHead(HttpResponse head) {
        mAnswerStarted = true;
        HeaderRules.removeHopByHop(head.headers());
        onAnswer(head);
        if (mCallerDisconnected) {
            return;
        }
        head.headers().set(CallHeaders.VERDICT, Verdict.RAN.headerValue());
        addAnswerHeaders(head.headers());
        mCaller.writeHead(head);
        if (!mCaller.writable()) {
            pauseAnswer(true);
        }
    }

    @Override
    public final void answerBody(HttpContent content) {
        onAnswerBody(content);
        if (content instanceof LastHttpContent) {
            end(Verdict.RAN, null);
        }
        if (mCallerDisconnected) {
            content.release();
        } else {
            mCaller.writeBody(content);
        }
    }

    @Override
    public final void answerFlush() {
        mCaller.flush();
    }

    @Override
    public final void failed(CallFailure failure) {
        mExchange = null;
        if (mAnswerStarted) {
            end(failure.verdict(), failure.code());
            mCaller.abort();
        } else {
            onFailure(failure);
        }
    }

    @Override
    public final void requestWritable() {
        mCaller.pauseRequest(false);
    }

    /** Answers with a failure and ends the call. */
    final void fail(CallFailure failure) {
        if (mDone) {
            return;
        }
        end(failure.verdict(), failure.code());
        if (mCallerDisconnected) {
            return;
        }
        mCaller.pauseRequest(false);
        mCaller.writeProblem(failure, this::addAnswerHeaders);
    }

    private void cancelAndFail(ErrorCode code, String detail) {
        Verdict verdict = cancelExchange();
        if (mAnswerStarted) {
            end(verdict, code);
            mCaller.abort();
        } else {
            fail(CallFailure.of(verdict, code, detail));
        }
    }

    private Verdict cancelExchange() {
        Verdict verdict = mExchange == null ? Verdict.NOT_RUN : mExchange.cancel();
        mExchange = null;
        return callVerdict(verdict);
    }

    private void end(Verdict verdict, @Nullable ErrorCode code) {
        mDone = true;
        MeteredHeaders.release(mRequest);
        mWorker.remove(this);
        onEnd(verdict, code);
    }
}
