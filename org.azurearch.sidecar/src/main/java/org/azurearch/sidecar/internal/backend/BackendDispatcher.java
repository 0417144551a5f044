package org.azurearch.sidecar.internal.backend;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.azurearch.errors.ErrorCode;
import org.azurearch.internal.call.RequestFingerprint;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.Dialect;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.admit.BackendQueue;
import org.azurearch.sidecar.admit.LinkLoad;
import org.azurearch.sidecar.admit.QueuedRequest;
import org.azurearch.sidecar.admit.StopLimit;
import org.azurearch.sidecar.call.Attempt;
import org.azurearch.sidecar.call.AttemptFailure;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.internal.CallLog;
import org.azurearch.sidecar.internal.suspect.CallFingerprints;
import org.azurearch.sidecar.internal.suspect.CrashDetector;
import org.azurearch.sidecar.internal.suspect.SilenceDetector;
import org.azurearch.sidecar.internal.suspect.SuspectTracker;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.Heartbeat;
import org.azurearch.sidecar.route.EndpointLoad;
import org.jspecify.annotations.Nullable;

/**
 * Sends all calls, from this node and from peers, to the backend server behind this node. Calls
 * wait in a queue until a slot is free. Confined to one event loop.
 */
public final class BackendDispatcher implements SilenceDetector.Listener {
    /**
     * Interval at which waiting requests without remaining time are refused, and those are started
     * for which a limit allows it.
     */
    private static final long SWEEP_MILLIS = 25;

    /** Ratio of the work of almost all requests to the mean of their route. */
    private static final double LONG_WORK_FACTOR = 2;

    /**
     * The platform does not distinguish calls made by backend servers from those of other callers;
     * the rank of their routes gives them priority.
     */
    private static final boolean FROM_BACKEND = false;

    /** Receives what requests show of the backend server. */
    public interface Listener {
        /** Called if no connection to the backend server could be opened. */
        void unreachable();

        /** Called if a backend server of another service or run answers at its address. */
        void replaced();

        /** Called when the backend server announces in an answer that it is leaving. */
        void leavingAnnounced();

        /** Called when the backend server names another limit, negative if none any more. */
        void limitNamed(double perSecond);

        /** Returns the path of the health check of a service, or null if it is not known. */
        @Nullable String healthPath(String service);
    }

    private final EventLoop mLoop;
    private final Dialect mDialect;
    private final BackendConnectionPool mPool;
    private final Listener mListener;
    private final CallFingerprints mFingerprints;
    private final CallLog mLog;
    private final SuspectTracker mSuspects;
    private final CrashDetector mCrashes;
    private final SilenceDetector mSilence;
    private final AttemptLog mAttemptLog;
    private final LinkLoad mLink;
    private final BackendQueue<BackendAttempt> mQueue;
    private final StopLimit mStopLimit = new StopLimit();
    private final BackendPerformance mPerformance = new BackendPerformance();
    private @Nullable Heartbeat mBackend;
    private boolean mSweepScheduled;
    private boolean mStartScheduled;
    private boolean mStopping;
    private boolean mWithheld;
    private double mNamedLimit = BackendRecord.NO_LIMIT;

    /**
     * Creates a dispatcher without a backend server.
     *
     * @param loop the event loop of the node
     * @param heartbeatMillis the period of the backend server's heartbeats
     * @param dialect the header names
     * @param listener receives failures to reach the backend server
     * @param log logs calls
     * @param suspects the requests under which backend servers crashed
     * @param crashes finds out whether a lost connection means a crash
     * @param link the link over which answers leave this VM
     * @param metrics where metrics are registered
     */
    public BackendDispatcher(
            EventLoop loop,
            long heartbeatMillis,
            Dialect dialect,
            Listener listener,
            CallLog log,
            SuspectTracker suspects,
            CrashDetector crashes,
            LinkLoad link,
            MetricRegistry metrics) {
        mLoop = loop;
        mDialect = dialect;
        mFingerprints = new CallFingerprints(dialect);
        mSuspects = suspects;
        mCrashes = crashes;
        mLink = link;
        mQueue = new BackendQueue<>(link);
        mSilence = new SilenceDetector(loop, heartbeatMillis, this);
        mLog = log;
        mAttemptLog = new AttemptLog(log, dialect, metrics);
        metrics.gauge("backend.limit", () -> (Gauge<Double>) () -> mNamedLimit);
        mPool = new BackendConnectionPool(loop, dialect);
        mListener = listener;
    }

    /**
     * Sets the backend server that accepts requests; null refuses all waiting requests.
     *
     * @param limitPerSecond the limit that is known of it, if it differs from the previous one
     */
    public void updateBackend(@Nullable Heartbeat backend, double limitPerSecond) {
        Heartbeat before = mBackend;
        mBackend = backend;
        if (backend == null) {
            refuseWaiting(
                    AttemptFailure.notSent(
                            ErrorCode.NO_BACKEND_SERVER, "the backend server is leaving"));
            return;
        }
        mQueue.setSlots(backend.slots());
        if (before == null || !before.instance().equals(backend.instance())) {
            applyLimit(limitPerSecond);
            mPool.switchTo(backend.address());
            mPerformance.serverChanged();
        }
        startWaiting();
    }

    /**
     * Probes an address once for a backend server; called only while none is known.
     *
     * @param address the address
     * @param path the health check path
     * @param callback receives the instance id of a healthy backend server, or null if there is
     *     none
     */
    public void probe(NetAddress address, String path, Consumer<@Nullable String> callback) {
        mPool.switchTo(address);
        BackendProbe.send(
                mLoop,
                mDialect,
                mPool,
                address,
                path,
                (answered, instance) -> callback.accept(instance));
    }

    /** Records that a heartbeat of the backend server has arrived. */
    public void heartbeatReceived() {
        mSilence.signOfLife();
    }

    @Override
    public void check(Consumer<Boolean> answered) {
        Heartbeat backend = mBackend;
        String path = backend == null ? null : mListener.healthPath(backend.service());
        if (backend == null || path == null) {
            answered.accept(true);
            return;
        }
        BackendProbe.send(
                mLoop,
                mDialect,
                mPool,
                backend.address(),
                path,
                (any, instance) -> answered.accept(any));
    }

    @Override
    public void fellSilent(List<HopCall> requests) {
        Heartbeat backend = mBackend;
        if (backend != null) {
            mCrashes.fellSilent(requests.stream().map(mFingerprints::of).toList(), backend);
            mListener.unreachable();
        }
    }

    /** Refuses all calls that arrive from now on, as the node is shutting down. */
    public void refuseNewCalls() {
        mStopping = true;
    }

    /**
     * Records that a planned stop has begun, in which no request is started that is likely to
     * outlast it.
     *
     * @param endNanos when the node ends, on the steady clock
     */
    public void stopAt(long endNanos) {
        mStopLimit.stopAt(endNanos);
    }

    /** Refuses all calls that wait for a slot. */
    public void refuseWaiting(AttemptFailure failure) {
        mQueue.removeAll().forEach(waiting -> waiting.refuse(failure));
    }

    /**
     * Sets whether the backend server gets no requests, as its version was rolled back. Those that
     * wait are refused, so that they are sent to other backend servers.
     */
    public void withhold(boolean withheld) {
        mWithheld = withheld;
        if (withheld) {
            refuseWaiting(rolledBack());
        }
    }

    private static AttemptFailure rolledBack() {
        return AttemptFailure.notSent(
                ErrorCode.NO_BACKEND_SERVER, "the version of the backend server was rolled back");
    }

    /**
     * Starts a call of a caller on this VM, queues it or refuses it.
     *
     * @return a handle that cancels the call
     */
    public Attempt submit(HopCall call, Attempt.Listener listener) {
        return submit(call, listener, 0);
    }

    /** Does the same for a call of a peer, whose answer leaves this VM. */
    public Attempt submitForPeer(HopCall call, Attempt.Listener listener) {
        return submit(call, listener, mLink.answerMillis(call.route()));
    }

    private Attempt submit(HopCall call, Attempt.Listener listener, double answerMillis) {
        BackendAttempt attempt =
                new BackendAttempt(this, call, listener, queuedRequest(call, answerMillis));
        Heartbeat backend = mBackend;
        if (mStopping || backend == null || !backend.service().equals(call.service())) {
            attempt.refuse(
                    AttemptFailure.notSent(
                            ErrorCode.NO_BACKEND_SERVER,
                            "this node has no backend server of the service"));
            return attempt;
        }
        if (mWithheld) {
            attempt.refuse(rolledBack());
            return attempt;
        }
        AttemptFailure refusal = refusal(call);
        if (refusal != null) {
            attempt.refuse(refusal);
            return attempt;
        }
        long now = System.nanoTime();
        switch (mQueue.offer(attempt, attempt.queued(), now)) {
            case START -> attempt.start(backend);
            case WAIT -> scheduleSweep();
            default ->
                    attempt.refuse(
                            AttemptFailure.refused(
                                    (long) mQueue.retryMillis(attempt.queued(), now),
                                    mQueue.describe(attempt.queued(), now)));
        }
        return attempt;
    }

    /** Returns the link over which answers leave this VM. */
    public LinkLoad link() {
        return mLink;
    }

    /** Returns the current load of the backend server. */
    public EndpointLoad load() {
        return new EndpointLoad(
                mQueue.running(),
                mQueue.waitingByRank(EndpointLoad.RANK_COUNT),
                mPerformance.meanMillis(),
                mPerformance.failurePercent(),
                mQueue.startWaitMillis(System.nanoTime()));
    }

    /** Returns the current work time of calls of the same route, in milliseconds. */
    double workMillis(HopCall call) {
        return mPerformance.workMillis(call);
    }

    /** Returns the number of calls that the backend server is running. */
    public int running() {
        return mQueue.running();
    }

    /** Returns the number of calls waiting for a slot. */
    public int waiting() {
        return mQueue.waiting();
    }

    BackendConnectionPool pool() {
        return mPool;
    }

    Dialect dialect() {
        return mDialect;
    }

    EventLoop loop() {
        return mLoop;
    }

    void cancelWaiting(BackendAttempt attempt) {
        mQueue.cancel(attempt);
    }

    /** Records that an attempt has been sent to the backend server. */
    void attemptSent(HopCall call, long nowNanos) {
        mAttemptLog.sent();
        mPerformance.sent(nowNanos);
        mSilence.sent(call);
    }

    /**
     * Records the end of an attempt that was sent.
     *
     * @param responded whether the backend server sent an answer or closed the connection
     */
    void attemptReturned(HopCall call, long sentNanos, boolean responded) {
        mPerformance.returned(sentNanos);
        mSilence.ended(call, responded);
        mAttemptLog.returned(call, responded);
    }

    /**
     * Frees the slot of a started attempt and records its outcome. Waiting attempts start later in
     * this turn of the event loop, so that those are cancelled first whose cancellation was read
     * together with this end.
     */
    void attemptEnded(BackendAttempt attempt, boolean failed, double workMillis) {
        mQueue.release(attempt.queued());
        mPerformance.ended(attempt.call(), failed, workMillis);
        if (!mStartScheduled && mQueue.waiting() > 0) {
            mStartScheduled = true;
            mLoop.execute(
                    () -> {
                        mStartScheduled = false;
                        startWaiting();
                    });
        }
    }

    /**
     * Records that the connection was lost while the backend server ran a request.
     *
     * @param decided runs once it is known whether the backend server has crashed
     */
    void connectionLost(HopCall call, Heartbeat backend, String reason, Runnable decided) {
        RequestFingerprint fingerprint = mFingerprints.of(call);
        mAttemptLog.lost(call, fingerprint, backend, reason);
        mCrashes.connectionLost(fingerprint, backend, decided);
    }

    /**
     * Records the limit that an answer names.
     *
     * @param backend the backend server that answered
     * @param value the limit, in requests a second as a decimal number, or null if it names none
     */
    void limitNamed(Heartbeat backend, @Nullable String value) {
        double perSecond =
                value == null
                        ? BackendRecord.NO_LIMIT
                        : NamedLimit.parse(backend, value, mNamedLimit, mLog);
        if (backend != mBackend || perSecond == mNamedLimit) {
            return;
        }
        mLog.failure(SidecarEvent.BACKEND_LIMIT, backend.instance(), perSecond, mNamedLimit);
        applyLimit(perSecond);
        mListener.limitNamed(perSecond);
    }

    /** Records that an answer announces that the backend server is leaving. */
    void leavingAnnounced(Heartbeat backend) {
        if (backend == mBackend) {
            mListener.leavingAnnounced();
        }
    }

    private void applyLimit(double perSecond) {
        mNamedLimit = perSecond;
        mQueue.limitStarts(perSecond, System.nanoTime());
    }

    /** Records that the backend server answered a call without failing it. */
    void completed(HopCall call) {
        mSuspects.completed(call, mAttemptLog.id(call));
    }

    void reportUnreachable(Heartbeat backend) {
        if (backend == mBackend) {
            mListener.unreachable();
        }
    }

    void reportReplaced(Heartbeat backend) {
        if (backend == mBackend) {
            mListener.replaced();
        }
    }

    private void startWaiting() {
        Heartbeat backend = mBackend;
        while (backend != null) {
            long now = System.nanoTime();
            refuseExpired(now);
            BackendAttempt next = mQueue.startNext(now);
            if (next == null) {
                return;
            }
            AttemptFailure refusal = refusal(next.call());
            if (refusal == null) {
                next.start(backend);
            } else {
                mQueue.release(next.queued());
                next.refuse(refusal);
            }
            backend = mBackend;
        }
    }

    /** Returns why a call may not be started now, or null if it may. */
    private @Nullable AttemptFailure refusal(HopCall call) {
        AttemptFailure contained = mSuspects.containment(call);
        if (contained != null || !mStopLimit.stopping()) {
            return contained;
        }
        long now = System.nanoTime();
        double leftMillis = (double) TimeUnit.NANOSECONDS.toMillis(call.deadlineNanos() - now);
        boolean endsInTime =
                mStopLimit.allows(LONG_WORK_FACTOR * workMillis(call), leftMillis, now);
        return endsInTime ? null : AttemptFailure.stopping();
    }

    private void refuseExpired(long nowNanos) {
        for (BackendAttempt attempt : mQueue.removeExpired(nowNanos)) {
            attempt.refuse(
                    AttemptFailure.refused(
                            (long) mQueue.backlogMillis(nowNanos), "no time left after waiting"));
        }
    }

    private void scheduleSweep() {
        if (!mSweepScheduled) {
            mSweepScheduled = true;
            mLoop.schedule(this::sweep, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void sweep() {
        mSweepScheduled = false;
        refuseExpired(System.nanoTime());
        startWaiting();
        if (mQueue.waiting() > 0) {
            scheduleSweep();
        }
    }

    private QueuedRequest queuedRequest(HopCall call, double answerMillis) {
        return new QueuedRequest(
                call.route(),
                call.rank(),
                FROM_BACKEND,
                call.targetNanos(),
                call.deadlineNanos(),
                mPerformance.expectedMillis(call),
                call.account(),
                call.accountWeight(),
                answerMillis);
    }
}
