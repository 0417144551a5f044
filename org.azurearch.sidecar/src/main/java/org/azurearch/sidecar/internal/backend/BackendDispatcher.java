package org.azurearch.sidecar.internal.backend;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.internal.call.RequestFingerprint;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.Dialect;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.admit.AnswerBudget;
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
import org.azurearch.sidecar.internal.suspect.SuspectTracker;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.Heartbeat;
import org.azurearch.sidecar.route.EndpointLoad;
import org.jspecify.annotations.Nullable;

/**
 * Sends all calls, from this node and from peers, to the backend server behind this node. Calls
 * wait in a queue until a slot is free. Confined to one event loop.
 */
public final class BackendDispatcher implements BackendRun.Listener {
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
    private final long mHeartbeatMillis;
    private final Listener mListener;
    private final CallFingerprints mFingerprints;
    private final CallLog mLog;
    private final SuspectTracker mSuspects;
    private final AttemptLog mAttemptLog;
    private final LinkLoad mLink;
    private final BackendQueue<BackendAttempt> mQueue;
    private final AnswerBudget mBudget = AnswerBudget.of(Runtime.getRuntime().maxMemory());
    private final StopLimit mStopLimit = new StopLimit();
    private BackendPerformance mPerformance = new BackendPerformance();
    private @Nullable BackendRun mRun;
    private boolean mAccepting;
    private boolean mSweepScheduled;
    private boolean mStartScheduled;
    private boolean mStopping;
    private Predicate<Heartbeat> mRejected = backend -> false;
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
            LinkLoad link,
            MetricRegistry metrics) {
        mLoop = loop;
        mDialect = dialect;
        mFingerprints = new CallFingerprints(dialect);
        mSuspects = suspects;
        mLink = link;
        mQueue = new BackendQueue<>(link);
        mHeartbeatMillis = heartbeatMillis;
        mLog = log;
        mAttemptLog = new AttemptLog(log, dialect, metrics);
        metrics.gauge("backend.limit", () -> (Gauge<Double>) () -> mNamedLimit);
        metrics.gauge("backend.answers.large-bytes", () -> (Gauge<Long>) mBudget::largeBytes);
        metrics.gauge("backend.answers.paused", () -> (Gauge<Integer>) mBudget::paused);
        mListener = listener;
    }

    /**
     * Sets the backend server that accepts requests; null refuses all waiting requests. If it is
     * another run than before, the attempts at that one end, and of the waiting requests those go
     * on that are for its service.
     *
     * @param limitPerSecond the limit that is known of it, if it is another run
     */
    public void updateBackend(@Nullable Heartbeat backend, double limitPerSecond) {
        boolean accepted = mAccepting;
        mAccepting = backend != null;
        if (backend == null) {
            refuseWaiting(
                    AttemptFailure.notSent(
                            ErrorCode.NO_BACKEND_SERVER, "the backend server is leaving"));
            return;
        }
        BackendRun run = mRun;
        if (run == null || !run.matches(backend)) {
            begin(backend, run, accepted);
            applyLimit(limitPerSecond);
        } else {
            run.update(backend);
            if (!accepted) {
                run.reachableAgain();
                applyLimit(limitPerSecond);
            }
        }
        mQueue.setSlots(backend.slots());
        mQueue.removeIf(waiting -> !waiting.call().service().equals(backend.service()))
                .forEach(waiting -> waiting.refuse(notOfService()));
        startWaiting();
    }

    private void begin(Heartbeat backend, @Nullable BackendRun before, boolean accepted) {
        boolean sameService =
                before != null && before.heartbeat().service().equals(backend.service());
        mPerformance = sameService ? mPerformance.ofNextRun() : new BackendPerformance();
        mRun =
                new BackendRun(
                        mLoop,
                        mHeartbeatMillis,
                        mDialect,
                        backend,
                        mBudget,
                        new CrashDetector(mLoop, mSuspects),
                        mPerformance,
                        mAttemptLog,
                        this);
        if (before != null) {
            EventLog.log(
                    SidecarEvent.BACKEND_REPLACED,
                    before.heartbeat().instance(),
                    backend.instance(),
                    mQueue.running(),
                    mQueue.waiting());
            mQueue.endLimit();
            before.end(!accepted);
        }
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
        BackendConnectionPool pool = new BackendConnectionPool(mLoop, mDialect, address, mBudget);
        BackendProbe.send(
                mLoop,
                mDialect,
                pool,
                path,
                (answered, instance) -> {
                    pool.close();
                    callback.accept(instance);
                });
    }

    /** Records that a heartbeat has arrived, of the present run or of another one. */
    public void heartbeatReceived(Heartbeat heartbeat) {
        if (mRun != null && mRun.matches(heartbeat)) {
            mRun.heartbeatReceived(heartbeat);
        }
    }

    @Override
    public @Nullable String healthPath(BackendRun run) {
        return accepting(run) ? mListener.healthPath(run.heartbeat().service()) : null;
    }

    @Override
    public void fellSilent(BackendRun run, List<HopCall> requests) {
        if (accepting(run)) {
            run.crashedUnder(requests);
            mListener.unreachable();
        }
    }

    /** Returns whether a run is the present one and accepts requests. */
    private boolean accepting(BackendRun run) {
        return mAccepting && run == mRun;
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
        mQueue.removeIf(waiting -> true).forEach(waiting -> waiting.refuse(failure));
    }

    /** Sets which backend servers get no requests, as their version was rolled back. */
    public void rejectIf(Predicate<Heartbeat> rejected) {
        mRejected = rejected;
    }

    /** Refuses the waiting requests, so that they are sent elsewhere, if the server is rejected. */
    public void rejectionsChanged() {
        if (mRun != null && mRejected.test(mRun.heartbeat())) {
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
        BackendRun run = mAccepting ? mRun : null;
        if (mStopping || run == null || !run.heartbeat().service().equals(call.service())) {
            attempt.refuse(notOfService());
            return attempt;
        }
        AttemptFailure refusal = refusal(run, call);
        if (refusal != null) {
            attempt.refuse(refusal);
            return attempt;
        }
        long now = System.nanoTime();
        switch (mQueue.offer(attempt, attempt.queued(), now)) {
            case START -> attempt.start(run);
            case WAIT -> scheduleSweep();
            default ->
                    attempt.refuse(
                            AttemptFailure.refused(
                                    (long) mQueue.retryMillis(attempt.queued(), now),
                                    mQueue.describe(attempt.queued(), now)));
        }
        return attempt;
    }

    private static AttemptFailure notOfService() {
        return AttemptFailure.notSent(
                ErrorCode.NO_BACKEND_SERVER, "this node has no backend server of the service");
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

    /** Returns the number of calls that hold a slot of the backend server. */
    public int running() {
        return mQueue.running();
    }

    /** Returns the number of calls waiting for a slot. */
    public int waiting() {
        return mQueue.waiting();
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

    /**
     * Frees the slot of a started attempt. Waiting attempts start later in this turn of the event
     * loop, so that those are cancelled first whose cancellation was read together with this end.
     */
    void slotReleased(BackendAttempt attempt) {
        mQueue.release(attempt.queued());
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
    void connectionLost(HopCall call, BackendRun run, String reason, Runnable decided) {
        RequestFingerprint fingerprint = mFingerprints.of(call);
        mAttemptLog.lost(call, fingerprint, run.heartbeat(), reason);
        run.connectionLost(fingerprint, decided);
    }

    /**
     * Records the limit that an answer names.
     *
     * @param run the run that answered
     * @param value the limit, in requests a second as a decimal number, or null if it names none
     */
    void limitNamed(BackendRun run, @Nullable String value) {
        Heartbeat backend = run.heartbeat();
        double perSecond =
                value == null
                        ? BackendRecord.NO_LIMIT
                        : NamedLimit.parse(backend, value, mNamedLimit, mLog);
        if (!accepting(run) || perSecond == mNamedLimit) {
            return;
        }
        mLog.failure(SidecarEvent.BACKEND_LIMIT, backend.instance(), perSecond, mNamedLimit);
        applyLimit(perSecond);
        mListener.limitNamed(perSecond);
    }

    /** Records that an answer announces that the backend server is leaving. */
    void leavingAnnounced(BackendRun run) {
        if (accepting(run)) {
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

    void reportUnreachable(BackendRun run) {
        if (accepting(run)) {
            mListener.unreachable();
        }
    }

    void reportReplaced(BackendRun run) {
        if (accepting(run)) {
            mListener.replaced();
        }
    }

    private void startWaiting() {
        BackendRun run = mRun;
        while (mAccepting && run != null) {
            long now = System.nanoTime();
            refuseExpired(now);
            BackendAttempt next = mQueue.startNext(now);
            if (next == null) {
                return;
            }
            AttemptFailure refusal = refusal(run, next.call());
            if (refusal == null) {
                next.start(run);
            } else {
                mQueue.release(next.queued());
                next.refuse(refusal);
            }
            run = mRun;
        }
    }

    /** Returns why a call may not be started now, or null if it may. */
    private @Nullable AttemptFailure refusal(BackendRun run, HopCall call) {
        AttemptFailure refused =
                mRejected.test(run.heartbeat()) ? rolledBack() : mSuspects.containment(call);
        if (refused != null || !mStopLimit.stopping()) {
            return refused;
        }
        long now = System.nanoTime();
        double leftMillis = (double) TimeUnit.NANOSECONDS.toMillis(call.deadlineNanos() - now);
        boolean endsInTime =
                mStopLimit.allows(
                        LONG_WORK_FACTOR * mPerformance.workMillis(call), leftMillis, now);
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
