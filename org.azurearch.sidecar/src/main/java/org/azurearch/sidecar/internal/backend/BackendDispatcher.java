package org.azurearch.sidecar.internal.backend;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.Dialect;
import org.azurearch.sidecar.admit.BackendQueue;
import org.azurearch.sidecar.admit.QueuedRequest;
import org.azurearch.sidecar.admit.RunningAges;
import org.azurearch.sidecar.admit.WorkEstimate;
import org.azurearch.sidecar.call.Attempt;
import org.azurearch.sidecar.call.AttemptFailure;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.member.BackendReport;
import org.azurearch.sidecar.route.EndpointLoad;
import org.jspecify.annotations.Nullable;

/**
 * The only way to the backend server behind this node: takes calls from this node and from others,
 * lets them wait for a slot and passes them on. Confined to one event loop.
 */
public final class BackendDispatcher {
    /** Waiting requests are looked through this often for those that have no time left. */
    private static final long SWEEP_MILLIS = 25;

    /**
     * At any moment, requests that run have on average been running for half of their work or a
     * little more. Beyond three times that, chance is ruled out: the backend server has turned
     * slow, and this shows before any answer does. A smaller bound sent calls to other data centres
     * on a calm day.
     */
    private static final double AGE_FACTOR = 0.6;

    private static final double PERCENT = 100.0;

    /**
     * The platform does not tell calls of backend servers from those of other callers; the rank of
     * their routes puts them first.
     */
    private static final boolean FROM_BACKEND = false;

    /** Weight of a new outcome: about the last twenty count. */
    private static final double FAILURE_RATE_WEIGHT = 0.05;

    /** Takes note that the backend server cannot be reached. */
    public interface Listener {
        /** No connection to the backend server could be opened. */
        void unreachable();

        /** A backend server of another service or run has its address. */
        void replaced();
    }

    private final EventLoop mLoop;
    private final Dialect mDialect;
    private final BackendConnectionPool mPool;
    private final Listener mListener;
    private final BackendQueue<BackendAttempt> mQueue = new BackendQueue<>();
    private final WorkEstimate mWorkEstimate = new WorkEstimate();
    private final RunningAges mRunningAges = new RunningAges();
    private @Nullable BackendReport mBackend;
    private boolean mSweepScheduled;
    private double mFailureRate;
    private boolean mStopping;

    /**
     * Creates a desk without a backend server.
     *
     * @param loop the event loop of the node
     * @param dialect the names of headers
     * @param watcher takes what turns out about the backend server
     */
    public BackendDispatcher(EventLoop loop, Dialect dialect, Listener watcher) {
        mLoop = loop;
        mDialect = dialect;
        mPool = new BackendConnectionPool(loop, dialect);
        mListener = watcher;
    }

    /** Sets the backend server that takes requests, or null when there is none. */
    public void updateBackend(@Nullable BackendReport backend) {
        BackendReport before = mBackend;
        mBackend = backend;
        if (backend == null) {
            for (BackendAttempt waiting : mQueue.clear()) {
                waiting.refuse(
                        AttemptFailure.notSent(
                                ErrorCode.NO_BACKEND_SERVER, "the backend server leaves"));
            }
            return;
        }
        mQueue.slots(backend.slots());
        if (before == null || !before.instance().equals(backend.instance())) {
            mPool.retarget(backend.address());
            mFailureRate = 0;
        }
        startWaiting();
    }

    /**
     * Asks once which backend server is at an address, while none is known.
     *
     * @param address the address
     * @param path the path that says whether a backend server is healthy
     * @param taker takes which backend server is there, or null where none takes requests
     */
    public void probe(NetAddress address, String path, Consumer<@Nullable String> taker) {
        mPool.retarget(address);
        BackendProbe.send(mLoop, mDialect, mPool, address, path, taker);
    }

    /** Refuses what arrives from now on, as the node is about to end. */
    public void refuseNewCalls() {
        mStopping = true;
    }

    /** Takes a call. */
    public Attempt submit(HopCall call, Attempt.Sink sink) {
        BackendAttempt attempt = new BackendAttempt(this, call, sink, queuedRequest(call));
        BackendReport backend = mBackend;
        if (mStopping || backend == null || !backend.service().equals(call.service())) {
            attempt.refuse(
                    AttemptFailure.notSent(
                            ErrorCode.NO_BACKEND_SERVER, "no backend server of the service here"));
            return attempt;
        }
        long now = System.nanoTime();
        switch (mQueue.offer(attempt, attempt.queued(), now)) {
            case START -> attempt.start(backend);
            case WAIT -> scheduleSweep();
            default ->
                    attempt.refuse(
                            AttemptFailure.refused(
                                    (long) mQueue.backlogMillis(),
                                    "waiting="
                                            + mQueue.waiting()
                                            + " running="
                                            + mQueue.running()));
        }
        return attempt;
    }

    /** Returns how busy the backend server is. */
    public EndpointLoad load() {
        return new EndpointLoad(
                mQueue.running(),
                mQueue.waitingByRank(EndpointLoad.RANKS),
                mWorkEstimate.mean() * slowdownFactor(),
                (int) (mFailureRate * PERCENT));
    }

    /** Returns how long the backend server works on calls of the same route, in milliseconds. */
    double workMillis(HopCall call) {
        return expectedMillis(call) * slowdownFactor();
    }

    /** Returns how many times slower than its past answers the backend server shows to be now. */
    private double slowdownFactor() {
        double mean = mWorkEstimate.mean();
        double now = AGE_FACTOR * mRunningAges.meanMillis(System.nanoTime());
        return mean > 0 ? Math.max(1, now / mean) : 1;
    }

    /** Returns the number of calls that the backend server works on. */
    public int running() {
        return mQueue.running();
    }

    /** Returns the number of calls that wait for a slot. */
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

    /** An attempt has been sent to the backend server. */
    void attemptSent(long nowNanos) {
        mRunningAges.started(nowNanos);
    }

    /** An attempt that was sent has ended. */
    void attemptReturned(long sentNanos) {
        mRunningAges.ended(sentNanos);
    }

    /** A started attempt has ended. */
    void attemptEnded(BackendAttempt attempt, boolean failed, double workMillis) {
        mQueue.ended(attempt.queued());
        mFailureRate += FAILURE_RATE_WEIGHT * ((failed ? 1 : 0) - mFailureRate);
        if (workMillis > 0) {
            mWorkEstimate.observed(attempt.call().route(), workMillis);
        }
        startWaiting();
    }

    void reportUnreachable(BackendReport backend) {
        if (backend == mBackend) {
            mListener.unreachable();
        }
    }

    void reportReplaced(BackendReport backend) {
        if (backend == mBackend) {
            mListener.replaced();
        }
    }

    private void startWaiting() {
        BackendReport backend = mBackend;
        while (backend != null) {
            long now = System.nanoTime();
            refuseExpired(now);
            BackendAttempt next = mQueue.next(now);
            if (next == null) {
                return;
            }
            next.start(backend);
            backend = mBackend;
        }
    }

    private void refuseExpired(long nowNanos) {
        List<BackendAttempt> expired = mQueue.expired(nowNanos);
        for (BackendAttempt attempt : expired) {
            attempt.refuse(
                    AttemptFailure.refused(
                            (long) mQueue.backlogMillis(), "no time left after waiting"));
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
        if (mQueue.waiting() > 0) {
            scheduleSweep();
        }
    }

    private QueuedRequest queuedRequest(HopCall call) {
        return new QueuedRequest(
                call.route(),
                call.rank(),
                FROM_BACKEND,
                call.targetNanos(),
                call.endNanos(),
                expectedMillis(call));
    }

    private double expectedMillis(HopCall call) {
        long targetMillis =
                Math.max(1, TimeUnit.NANOSECONDS.toMillis(call.targetNanos() - System.nanoTime()));
        return mWorkEstimate.of(call.route(), targetMillis);
    }
}
