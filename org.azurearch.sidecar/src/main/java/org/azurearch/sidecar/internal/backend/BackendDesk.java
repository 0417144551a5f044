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
import org.azurearch.sidecar.member.Heartbeat;
import org.azurearch.sidecar.route.EndpointLoad;
import org.jspecify.annotations.Nullable;

/**
 * The only way to the backend server behind this node: takes calls from this node and from others,
 * lets them wait for a slot and passes them on. Confined to one event loop.
 */
public final class BackendDesk {
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
    private static final double NEW_WEIGHT = 0.05;

    /** Takes note that the backend server cannot be reached. */
    public interface Watcher {
        /** No connection to the backend server could be opened. */
        void unreachable();

        /** A backend server of another service or run has its address. */
        void replaced();
    }

    private final EventLoop mLoop;
    private final Dialect mDialect;
    private final BackendPool mPool;
    private final Watcher mWatcher;
    private final BackendQueue<BackendAttempt> mQueue = new BackendQueue<>();
    private final WorkEstimate mWork = new WorkEstimate();
    private final RunningAges mAges = new RunningAges();
    private @Nullable Heartbeat mBackend;
    private boolean mSweeping;
    private double mFailures;
    private boolean mStopping;

    /**
     * Creates a desk without a backend server.
     *
     * @param loop the event loop of the node
     * @param dialect the names of headers
     * @param watcher takes what turns out about the backend server
     */
    public BackendDesk(EventLoop loop, Dialect dialect, Watcher watcher) {
        mLoop = loop;
        mDialect = dialect;
        mPool = new BackendPool(loop, dialect);
        mWatcher = watcher;
    }

    /** Sets the backend server that takes requests, or null when there is none. */
    public void backend(@Nullable Heartbeat backend) {
        Heartbeat before = mBackend;
        mBackend = backend;
        if (backend == null) {
            for (BackendAttempt waiting : mQueue.removeAll()) {
                waiting.refused(
                        AttemptFailure.notSent(
                                ErrorCode.NO_BACKEND_SERVER, "the backend server leaves"));
            }
            return;
        }
        mQueue.slots(backend.slots());
        if (before == null || !before.instance().equals(backend.instance())) {
            mPool.target(backend.address());
            mFailures = 0;
        }
        pump();
    }

    /**
     * Asks once which backend server is at an address, while none is known.
     *
     * @param address the address
     * @param path the path that says whether a backend server is healthy
     * @param taker takes which backend server is there, or null where none takes requests
     */
    public void probe(NetAddress address, String path, Consumer<@Nullable String> taker) {
        mPool.target(address);
        BackendProbe.send(mLoop, mDialect, mPool, address, path, taker);
    }

    /** Refuses what arrives from now on, as the node is about to end. */
    public void stopTaking() {
        mStopping = true;
    }

    /** Takes a call. */
    public Attempt accept(HopCall call, Attempt.Listener sink) {
        BackendAttempt attempt = new BackendAttempt(this, call, sink, queued(call));
        Heartbeat backend = mBackend;
        if (mStopping || backend == null || !backend.service().equals(call.service())) {
            attempt.refused(
                    AttemptFailure.notSent(
                            ErrorCode.NO_BACKEND_SERVER, "no backend server of the service here"));
            return attempt;
        }
        long now = System.nanoTime();
        switch (mQueue.offer(attempt, attempt.queued(), now)) {
            case START -> attempt.start(backend);
            case WAIT -> sweepLater();
            default ->
                    attempt.refused(
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
                mQueue.waitingByRank(EndpointLoad.RANK_COUNT),
                mWork.meanMillis() * slowness(),
                (int) (mFailures * PERCENT));
    }

    /** Returns how long the backend server works on calls of the same route, in milliseconds. */
    double workMillis(HopCall call) {
        return expectedMillis(call) * slowness();
    }

    /** Returns how many times slower than its past answers the backend server shows to be now. */
    private double slowness() {
        double mean = mWork.meanMillis();
        double now = AGE_FACTOR * mAges.meanMillis(System.nanoTime());
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

    BackendPool pool() {
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
    void sent(long nowNanos) {
        mAges.started(nowNanos);
    }

    /** An attempt that was sent has ended. */
    void returned(long sentNanos) {
        mAges.ended(sentNanos);
    }

    /** A started attempt has ended. */
    void ended(BackendAttempt attempt, boolean failed, double workMillis) {
        mQueue.release(attempt.queued());
        mFailures += NEW_WEIGHT * ((failed ? 1 : 0) - mFailures);
        if (workMillis > 0) {
            mWork.observe(attempt.call().route(), workMillis);
        }
        pump();
    }

    void unreachable(Heartbeat backend) {
        if (backend == mBackend) {
            mWatcher.unreachable();
        }
    }

    void replaced(Heartbeat backend) {
        if (backend == mBackend) {
            mWatcher.replaced();
        }
    }

    private void pump() {
        Heartbeat backend = mBackend;
        while (backend != null) {
            long now = System.nanoTime();
            expire(now);
            BackendAttempt next = mQueue.startNext(now);
            if (next == null) {
                return;
            }
            next.start(backend);
            backend = mBackend;
        }
    }

    private void expire(long nowNanos) {
        List<BackendAttempt> expired = mQueue.removeExpired(nowNanos);
        for (BackendAttempt attempt : expired) {
            attempt.refused(
                    AttemptFailure.refused(
                            (long) mQueue.backlogMillis(), "no time left after waiting"));
        }
    }

    private void sweepLater() {
        if (!mSweeping) {
            mSweeping = true;
            mLoop.schedule(this::sweep, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void sweep() {
        mSweeping = false;
        expire(System.nanoTime());
        if (mQueue.waiting() > 0) {
            sweepLater();
        }
    }

    private QueuedRequest queued(HopCall call) {
        return new QueuedRequest(
                call.route(),
                call.rank(),
                FROM_BACKEND,
                call.targetNanos(),
                call.deadlineNanos(),
                expectedMillis(call));
    }

    private double expectedMillis(HopCall call) {
        long targetMillis =
                Math.max(1, TimeUnit.NANOSECONDS.toMillis(call.targetNanos() - System.nanoTime()));
        return mWork.expectedMillis(call.route(), targetMillis);
    }
}
