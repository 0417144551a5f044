package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.Deque;
import org.azurearch.admit.Refusal;
import org.azurearch.call.CallFailure;
import org.azurearch.call.CallHeaders;
import org.azurearch.call.SuspectTable;
import org.azurearch.errors.ErrorCode;
import org.azurearch.internal.admit.BackendAdmission;
import org.azurearch.lib.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * An exchange with the backend server behind this node. It waits for admission, then sends the
 * request. While a request to its target is suspected of crashing backend servers, it first
 * collects the body, which the fingerprint covers.
 */
final class BackendExchange implements Exchange, AnswerSink, BackendAdmission.SlotCallback {
    /**
     * Largest body of a refusal that is read to its end, so that the connection can be used again.
     */
    private static final int MAX_REFUSAL_BYTES = 64 * 1024;

    private enum State {
        WAITING,
        RUNNING,
        SHEDDING,
        DONE
    }

    private final CallWorker mWorker;
    private final HttpRequest mHead;
    private final HopRequest mHop;
    private final AnswerSink mSink;
    private final Deque<HttpContent> mPending = new ArrayDeque<>();
    private final RequestFingerprint mFingerprint;
    private boolean mAwaitingFingerprint;
    private boolean mSubmitting;
    private State mState = State.WAITING;
    private @Nullable UpstreamExchange mUpstream;
    private BackendAdmission.@Nullable Slot mSlot;
    private long mStartedNanos;
    private boolean mUnavailable;
    private long mShedRetryAfterMillis;
    private long mRefusalBytes;

    BackendExchange(CallWorker worker, HttpRequest head, HopRequest hop, AnswerSink sink) {
        mWorker = worker;
        mHead = head;
        mFingerprint = new RequestFingerprint(head, hop.firm());
        mHop = hop;
        mSink = sink;
    }

    @Override
    public void start() {
        SuspectTable suspects = mWorker.crashMonitor().table();
        mAwaitingFingerprint =
                !suspects.isEmpty() && suspects.suspectTarget(mFingerprint.targetDigest());
        if (mAwaitingFingerprint) {
            mFingerprint.coverWholeBody();
        } else {
            submit();
        }
    }

    private void submit() {
        mAwaitingFingerprint = false;
        mSubmitting = true;
        mWorker.admission().requestSlot(this, mHop.admission(mWorker.nanos()));
        mSubmitting = false;
    }

    /** Submits the request for admission, or refuses it when its fingerprint is contained. */
    private void submitUnlessContained() {
        if (mWorker.crashMonitor().contains(mFingerprint)) {
            mState = State.DONE;
            releasePending();
            mSink.failed(
                    CallFailure.notRun(
                            ErrorCode.SUSPECT_REQUEST,
                            "a request like this one crashed several backend servers"));
        } else {
            submit();
        }
    }

    @Override
    public void admitted(BackendAdmission.Slot slot) {
        mWorker.run(() -> begin(slot));
    }

    @Override
    public void refused(Refusal refusal) {
        mWorker.run(() -> onRefused(refusal));
    }

    @Override
    public void body(HttpContent content) {
        mFingerprint.add(content);
        if (mUpstream != null) {
            mUpstream.body(content);
        } else if (mState == State.WAITING) {
            mPending.add(content);
            if (mAwaitingFingerprint && mFingerprint.complete()) {
                submitUnlessContained();
            }
        } else {
            content.release();
        }
    }

    @Override
    public void flush() {
        if (mUpstream != null) {
            mUpstream.flush();
        }
    }

    @Override
    public boolean writable() {
        return mAwaitingFingerprint
                || (mState != State.WAITING && (mUpstream == null || mUpstream.writable()));
    }

    @Override
    public void pauseAnswer(boolean paused) {
        if (mUpstream != null) {
            mUpstream.pauseAnswer(paused);
        }
    }

    @Override
    public Verdict cancel() {
        State before = mState;
        mState = State.DONE;
        releasePending();
        if (before == State.WAITING && mAwaitingFingerprint) {
            return Verdict.NOT_RUN;
        }
        if (before == State.WAITING) {
            mWorker.admission().cancel(this);
            return Verdict.NOT_RUN;
        }
        Verdict verdict = mUpstream == null ? Verdict.NOT_RUN : mUpstream.cancel();
        if (before != State.DONE) {
            releaseSlot(false, -1);
        }
        return verdict;
    }

    private void releaseSlot(boolean shed, long serviceNanos) {
        if (mSlot != null) {
            mSlot.release(shed, serviceNanos);
        }
    }

    @Override
    public void answerHead(HttpResponse head) {
        boolean refused = refuses(head);
        HeaderRules.removeAzurearch(head.headers());
        mUnavailable = unavailable(head);
        if (refused) {
            mState = State.SHEDDING;
            mShedRetryAfterMillis = RetryAfter.millis(head.headers());
            return;
        }
        mSink.answerHead(head);
    }

    @Override
    public void answerBody(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        boolean shedding = mState == State.SHEDDING;
        if (shedding) {
            mRefusalBytes += content.content().readableBytes();
            if (mRefusalBytes > MAX_REFUSAL_BYTES && mUpstream != null) {
                mUpstream.cancel();
                last = true;
            }
        }
        if (last) {
            mState = State.DONE;
            releaseSlot(mUnavailable, mWorker.nanos() - mStartedNanos);
        }
        if (!shedding) {
            if (last) {
                mWorker.crashMonitor().completed(mFingerprint);
            }
            mSink.answerBody(content);
            return;
        }
        content.release();
        if (last) {
            mSink.failed(
                    new CallFailure(
                            Verdict.NOT_RUN,
                            ErrorCode.OVERLOADED,
                            "the backend server shed the call",
                            mShedRetryAfterMillis));
        }
    }

    @Override
    public void answerFlush() {
        mSink.answerFlush();
    }

    @Override
    public void failed(CallFailure failure) {
        mState = State.DONE;
        releasePending();
        releaseSlot(false, -1);
        if (mSlot == null || !mSlot.current()) {
            mSink.failed(failure);
            return;
        }
        if (failure.verdict() == Verdict.NOT_RUN) {
            mWorker.backendUnreachable();
        } else {
            mWorker.backendFailed(mSlot.server(), mFingerprint);
        }
        mSink.failed(failure);
    }

    @Override
    public void requestWritable() {
        mSink.requestWritable();
    }

    /** Returns whether an answer states that the request was not run. */
    static boolean refuses(HttpResponse head) {
        return unavailable(head)
                && Verdict.NOT_RUN.headerValue().equals(head.headers().get(CallHeaders.VERDICT));
    }

    private static boolean unavailable(HttpResponse head) {
        return head.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }

    private void begin(BackendAdmission.Slot slot) {
        if (mState == State.DONE) {
            slot.release(false, -1);
            return;
        }
        if (!slot.current() || !mHop.servedBy(slot.server())) {
            slot.release(false, -1);
            failed(CallFailure.notRun(ErrorCode.NO_BACKEND_SERVER, "the backend server has left"));
            return;
        }
        mSlot = slot;
        mState = State.RUNNING;
        mStartedNanos = mWorker.nanos();
        UpstreamExchange upstream =
                new UpstreamExchange(
                        mWorker.backendPool(slot.server()),
                        mHead,
                        mHop.callId(),
                        this,
                        ErrorCode.BACKEND_SERVER_FAILED);
        mUpstream = upstream;
        upstream.start();
        for (HttpContent next = mPending.poll(); next != null; next = mPending.poll()) {
            upstream.body(next);
        }
        if (!mSubmitting) {
            upstream.flush();
        }
        if (upstream.writable()) {
            mSink.requestWritable();
        }
    }

    private void onRefused(Refusal refusal) {
        if (mState == State.DONE) {
            return;
        }
        mState = State.DONE;
        releasePending();
        mSink.failed(
                new CallFailure(
                        Verdict.NOT_RUN,
                        refusal.code(),
                        "the node in front of the backend server refused the call",
                        refusal.retryAfterMillis()));
    }

    private void releasePending() {
        mPending.forEach(HttpContent::release);
        mPending.clear();
    }
}
