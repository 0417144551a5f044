package org.azurearch.sidecar.internal.call;

import java.util.concurrent.TimeUnit;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.Verdict;
import org.azurearch.sidecar.call.Attempt;
import org.azurearch.sidecar.call.AttemptFailure;
import org.azurearch.sidecar.call.BackendAnswer;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.NodeRecord;
import org.azurearch.sidecar.rollout.EvidenceCounter;
import org.azurearch.sidecar.route.EndpointState;
import org.jspecify.annotations.Nullable;

/** One attempt of a call at one endpoint. Confined to one event loop. */
final class EndpointAttempt implements Attempt.Listener {
    /** The call that the attempt belongs to. */
    interface Owner {
        /** Removes an attempt that ends; returns false if it had ended before. */
        boolean remove(EndpointAttempt attempt);

        /** Returns whether the call has its answer or was cancelled. */
        boolean over();

        /** Called for an attempt that has not reached a backend server. */
        void notReached();

        /** Called with an answer, if the call goes on. */
        void answered(EndpointAttempt attempt, BackendAnswer answer);

        /** Called with a failure, if the call goes on. */
        void failed(EndpointAttempt attempt, AttemptFailure failure);

        /** Sends the request elsewhere too, if the node of the only open attempt is silent. */
        void retryBesideSilent();
    }

    private static final double NANOS_PER_MILLI = 1e6;

    private final CallRouter mRouter;
    private final Owner mOwner;
    private final EndpointState mEndpoint;
    private final HopCall mCall;
    private final NodeRecord mPeer;
    private final @Nullable BackendRecord mBackend;
    private @Nullable Attempt mAttempt;
    private EvidenceCounter.@Nullable Observation mObservation;
    private long mSentNanos;
    private boolean mPeerLost;
    private boolean mSilent;

    EndpointAttempt(CallRouter router, Owner owner, EndpointState endpoint, HopCall call) {
        mRouter = router;
        mOwner = owner;
        mEndpoint = endpoint;
        mCall = call;
        mPeer = endpoint.record();
        mBackend = mPeer.backend();
    }

    /** Returns the name of the node that it was sent to. */
    String node() {
        return mEndpoint.node();
    }

    /** Returns the endpoint that it was sent to. */
    EndpointState endpoint() {
        return mEndpoint;
    }

    /** Returns how long ago it was sent, in milliseconds. */
    double elapsedMillis(long nowNanos) {
        return (nowNanos - mSentNanos) / NANOS_PER_MILLI;
    }

    void send() {
        mSentNanos = System.nanoTime();
        mEndpoint.requestStarted(mCall.rank());
        mObservation = mRouter.observe(mEndpoint, mCall);
        if (mEndpoint.linkLimited()) {
            mEndpoint.answerExpected(mRouter.answers().expectedBytes(mCall.route()));
        }
        mAttempt = mRouter.send(mEndpoint, mCall, this);
    }

    /**
     * Ends the attempt, as its call's time is over, and counts a failure of the endpoint unless the
     * request was still waiting for it.
     *
     * @return whether the request may have run
     */
    boolean timedOut() {
        boolean mayHaveRun = cancel();
        if (mayHaveRun) {
            mEndpoint.observeOutcome(mBackend, true, System.nanoTime());
        }
        return mayHaveRun;
    }

    /**
     * Cancels the attempt if it has not ended.
     *
     * @return whether the request may have run
     */
    boolean cancel() {
        if (!mOwner.remove(this)) {
            return false;
        }
        mEndpoint.requestEnded(mCall.rank());
        observeEnd();
        return mAttempt == null || !mAttempt.cancel();
    }

    /** Fails the attempt as not run, unless its request was sent to the backend server. */
    void withdraw() {
        if (mAttempt != null) {
            mAttempt.withdraw();
        }
    }

    @Override
    public void answered(BackendAnswer answer) {
        if (mPeerLost) {
            mRouter.suspects().notLostWithPeer(mCall, mPeer);
        }
        mEndpoint.observeWork(mBackend, mCall.route(), answer.workMillis());
        if (mObservation != null) {
            mObservation.answered(answer.failed(), nowMillis());
        }
        if (mBackend != null && mRouter.announcesLeaving(answer)) {
            mEndpoint.excludeRun(mBackend);
        }
        if (complete(answer.failed())) {
            mOwner.answered(this, answer);
        }
    }

    @Override
    public void failed(AttemptFailure failure) {
        observeEnd();
        if (!failure.reachedBackend()) {
            mOwner.notReached();
        }
        if (complete(failure.reachedBackend())) {
            if (failure.code() == ErrorCode.PEER_UNAVAILABLE
                    && failure.verdict() == Verdict.MAY_HAVE_RUN) {
                recordPeerLoss();
            }
            mOwner.failed(this, failure);
        }
    }

    @Override
    public void peerSilent() {
        mSilent = true;
        recordPeerLoss();
        mOwner.retryBesideSilent();
    }

    /** Returns whether its node has fallen silent and has not been heard since. */
    boolean silent() {
        return mSilent && !mEndpoint.connected();
    }

    private void observeEnd() {
        if (mObservation != null) {
            mObservation.ended(nowMillis());
        }
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Records once that the node may be lost with its VM while the server ran the request. */
    private void recordPeerLoss() {
        if (mBackend != null && !mPeerLost) {
            mPeerLost = true;
            mRouter.suspects().lostWithPeer(mCall, mPeer, mBackend);
        }
    }

    private boolean complete(boolean failure) {
        if (!mOwner.remove(this)) {
            return false;
        }
        mEndpoint.requestEnded(mCall.rank());
        mEndpoint.observeOutcome(mBackend, failure, System.nanoTime());
        return !mOwner.over();
    }
}
