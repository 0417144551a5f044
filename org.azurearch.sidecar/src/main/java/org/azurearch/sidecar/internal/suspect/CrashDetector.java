package org.azurearch.sidecar.internal.suspect;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.azurearch.events.EventLog;
import org.azurearch.internal.call.CrashProbe;
import org.azurearch.internal.call.RequestFingerprint;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.member.Heartbeat;
import org.jspecify.annotations.Nullable;

/**
 * Determines after a lost connection whether the backend server behind this node has crashed; if
 * so, the requests that it was running become suspects. Confined to one event loop.
 */
public final class CrashDetector implements CrashProbe.Listener {
    /** Limit of the requests that become suspects at a crash. */
    private static final int MAX_STRIKES_PER_CRASH = 64;

    /**
     * Longest time for which the outcome of a lost request is withheld: the first probe takes a few
     * milliseconds, unless packets are dropped.
     */
    private static final long DECISION_LIMIT_MILLIS = 25;

    /** Time for strikes to reach the peers, which would send the request once more without them. */
    private static final long PEERS_TOLD_MILLIS = 2;

    private final EventLoop mLoop;
    private final SuspectTracker mTracker;
    private final List<RequestFingerprint> mLost = new ArrayList<>();
    private final List<Runnable> mUndecided = new ArrayList<>();
    private boolean mProbing;
    private String mInstance = "";
    private @Nullable String mCrash;

    /**
     * Creates a detector.
     *
     * @param loop the event loop of the node
     * @param tracker receives the requests that were in flight at a crash
     */
    public CrashDetector(EventLoop loop, SuspectTracker tracker) {
        mLoop = loop;
        mTracker = tracker;
    }

    /**
     * Records that a connection was lost while the backend server ran a request.
     *
     * @param decided runs once it is known whether the backend server has crashed, and the peers
     *     have been told; after {@link #DECISION_LIMIT_MILLIS} at the latest
     */
    public void connectionLost(RequestFingerprint request, Heartbeat backend, Runnable decided) {
        if (mLost.size() >= MAX_STRIKES_PER_CRASH) {
            decided.run();
            return;
        }
        mLost.add(request);
        awaitDecision(decided);
        if (mCrash != null) {
            mTracker.strike(request, mCrash, counts(request, mLost));
            decideOncePeersKnow();
        } else if (!mProbing) {
            mProbing = true;
            mInstance = backend.instance();
            new CrashProbe(mLoop, backend.address(), this).start(this::schedule);
        }
    }

    /** Records that the backend server has fallen silent under requests. */
    public void fellSilent(List<RequestFingerprint> requests, Heartbeat backend) {
        recordCrash(requests, backend.instance());
    }

    @Override
    public void crashed() {
        mCrash = recordCrash(List.copyOf(mLost), mInstance);
        decideOncePeersKnow();
    }

    private String recordCrash(List<RequestFingerprint> requests, String instance) {
        String crash = mTracker.newCrash();
        EventLog.log(SidecarEvent.BACKEND_CRASHED, instance, crash, requests.size());
        requests.forEach(request -> mTracker.strike(request, crash, counts(request, requests)));
        mTracker.saveContained();
        return crash;
    }

    @Override
    public void responsive() {
        decide();
    }

    @Override
    public void probed(boolean crashed) {
        mProbing = false;
        mCrash = null;
        mLost.clear();
    }

    /**
     * Returns whether a crash counts against a request that was in flight: not if the same request
     * completed a moment ago and another one was in flight that did not.
     */
    private boolean counts(RequestFingerprint request, List<RequestFingerprint> inFlight) {
        return !mTracker.completedJustNow(request)
                || inFlight.stream().allMatch(mTracker::completedJustNow);
    }

    private void awaitDecision(Runnable decided) {
        mUndecided.add(decided);
        mLoop.schedule(
                () -> {
                    if (mUndecided.remove(decided)) {
                        decided.run();
                    }
                },
                DECISION_LIMIT_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void decideOncePeersKnow() {
        mLoop.schedule(this::decide, PEERS_TOLD_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void decide() {
        List<Runnable> decided = List.copyOf(mUndecided);
        mUndecided.clear();
        decided.forEach(Runnable::run);
    }

    private void schedule(Duration delay, Runnable task) {
        mLoop.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
    }
}
