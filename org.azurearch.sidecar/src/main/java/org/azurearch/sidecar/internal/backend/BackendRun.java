package org.azurearch.sidecar.internal.backend;

import io.netty.channel.EventLoop;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.azurearch.internal.call.NextPoll;
import org.azurearch.internal.call.RequestFingerprint;
import org.azurearch.sidecar.Dialect;
import org.azurearch.sidecar.admit.AnswerBudget;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.internal.suspect.CallFingerprints;
import org.azurearch.sidecar.internal.suspect.CrashDetector;
import org.azurearch.sidecar.internal.suspect.SilenceDetector;
import org.azurearch.sidecar.member.Heartbeat;
import org.jspecify.annotations.Nullable;

/**
 * One run of the backend server behind this node, with its connections, the attempts under way
 * there and what they show of it. It ends as a whole when another run takes its place, so that
 * nothing of it applies to that one. Confined to one event loop.
 */
final class BackendRun implements SilenceDetector.Listener {
    /** Receives what is found out about a run. */
    interface Listener {
        /** Returns the path for a health check of a run, or null if none is to be sent. */
        @Nullable String healthPath(BackendRun run);

        /** Called when a run has fallen silent under requests. */
        void fellSilent(BackendRun run, List<HopCall> requests);
    }

    private final EventLoop mLoop;
    private final Dialect mDialect;
    private final CallFingerprints mFingerprints;
    private final CrashDetector mCrashes;
    private final BackendPerformance mPerformance;
    private final AttemptLog mAttemptLog;
    private final Listener mListener;
    private final BackendConnectionPool mPool;
    private final SilenceDetector mSilence;
    private final Set<BackendAttempt> mAttempts =
            Collections.newSetFromMap(new IdentityHashMap<>());
    private Heartbeat mHeartbeat;
    private boolean mEnded;

    /**
     * Creates a run to which nothing was sent.
     *
     * @param loop the event loop of the node
     * @param heartbeatMillis the period of the heartbeats
     * @param dialect the header names
     * @param heartbeat the first heartbeat of the run
     * @param budget limits the bytes of incomplete answers
     * @param crashes finds out whether a lost connection means a crash
     * @param performance receives the outcomes of attempts
     * @param attemptLog logs and counts requests
     * @param listener receives what is found out
     */
    BackendRun(
            EventLoop loop,
            long heartbeatMillis,
            Dialect dialect,
            Heartbeat heartbeat,
            AnswerBudget budget,
            CrashDetector crashes,
            BackendPerformance performance,
            AttemptLog attemptLog,
            Listener listener) {
        mLoop = loop;
        mDialect = dialect;
        mFingerprints = new CallFingerprints(dialect);
        mHeartbeat = heartbeat;
        mCrashes = crashes;
        mPerformance = performance;
        mAttemptLog = attemptLog;
        mListener = listener;
        mPool = new BackendConnectionPool(loop, dialect, heartbeat.address(), budget);
        mSilence = new SilenceDetector(loop, heartbeatMillis, this);
    }

    /** Returns the last heartbeat. */
    Heartbeat heartbeat() {
        return mHeartbeat;
    }

    /** Returns whether a heartbeat is of this run. */
    boolean matches(Heartbeat heartbeat) {
        return mHeartbeat.sameRun(heartbeat);
    }

    /** Replaces the heartbeat by another one of this run. */
    void update(Heartbeat heartbeat) {
        mHeartbeat = heartbeat;
    }

    /** Records that a heartbeat of this run has arrived. */
    void heartbeatReceived(Heartbeat heartbeat) {
        update(heartbeat);
        mSilence.signOfLife();
    }

    /** Records that this run accepts requests again after it was out of reach. */
    void reachableAgain() {
        mPool.closeIdle();
        mPerformance.forgetFailures();
    }

    BackendConnectionPool pool() {
        return mPool;
    }

    BackendPerformance performance() {
        return mPerformance;
    }

    /** Returns whether another run has taken the place of this one. */
    boolean ended() {
        return mEnded;
    }

    /** Adds an attempt that holds a slot. */
    void attemptStarted(BackendAttempt attempt) {
        mAttempts.add(attempt);
    }

    /** Records that the request of an attempt has been sent. */
    void requestSent(HopCall call, long nowNanos) {
        mPerformance.sent(nowNanos);
        mSilence.sent(call);
        mAttemptLog.sent();
    }

    /**
     * Records that the end of a request that was sent is not awaited any more.
     *
     * @param responded whether the backend server sent an answer or closed the connection
     */
    void requestReturned(HopCall call, long sentNanos, boolean responded) {
        mPerformance.returned(sentNanos);
        mSilence.ended(call, responded);
        mAttemptLog.returned(call, responded);
    }

    /** Removes an attempt, which has given back its slot, and records its outcome. */
    void attemptEnded(BackendAttempt attempt, boolean failed, double workMillis) {
        mAttempts.remove(attempt);
        mPerformance.ended(attempt.call(), failed, workMillis);
    }

    /**
     * Records that the connection was lost under a request.
     *
     * @param decided runs once it is known whether the backend server has crashed
     */
    void connectionLost(RequestFingerprint request, Runnable decided) {
        mCrashes.connectionLost(request, mHeartbeat, decided);
    }

    /** Records that the backend server has crashed or fallen silent under requests. */
    void crashedUnder(List<HopCall> requests) {
        mCrashes.fellSilent(requests.stream().map(mFingerprints::of).toList(), mHeartbeat);
    }

    /**
     * Ends this run, as another one has taken its place. Its process is gone, so that no attempt
     * gets an answer any more; those that have arrived are read first.
     *
     * @param announced whether it had announced that it was leaving, or was out of reach before
     */
    void end(boolean announced) {
        mEnded = true;
        NextPoll.runAfter(mLoop, () -> endAttempts(announced));
    }

    private void endAttempts(boolean announced) {
        mPool.close();
        List<HopCall> unanswered = mSilence.stop();
        if (!announced && !unanswered.isEmpty()) {
            crashedUnder(unanswered);
        }
        List.copyOf(mAttempts).forEach(BackendAttempt::serverReplaced);
    }

    @Override
    public void check(Consumer<Boolean> answered) {
        String path = mListener.healthPath(this);
        if (path == null) {
            answered.accept(true);
            return;
        }
        BackendProbe.send(mLoop, mDialect, mPool, path, (any, instance) -> answered.accept(any));
    }

    @Override
    public void fellSilent(List<HopCall> requests) {
        mListener.fellSilent(this, requests);
    }
}
