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

    private final EventLoop mLoop;
    private final SuspectTracker mTracker;
    private final List<RequestFingerprint> mLost = new ArrayList<>();
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

    /** Records that a connection was lost while the backend server ran a request. */
    public void connectionLost(RequestFingerprint request, Heartbeat backend) {
        if (mLost.size() >= MAX_STRIKES_PER_CRASH) {
            return;
        }
        mLost.add(request);
        if (mCrash != null) {
            mTracker.strike(request, mCrash);
        } else if (!mProbing) {
            mProbing = true;
            mInstance = backend.instance();
            new CrashProbe(mLoop, backend.address(), this).start(this::schedule);
        }
    }

    @Override
    public void crashed() {
        String crash = mTracker.newCrash();
        mCrash = crash;
        EventLog.log(SidecarEvent.BACKEND_CRASHED, mInstance, crash, mLost.size());
        List.copyOf(mLost).forEach(request -> mTracker.strike(request, crash));
    }

    @Override
    public void probed(boolean crashed) {
        mProbing = false;
        mCrash = null;
        mLost.clear();
    }

    private void schedule(Duration delay, Runnable task) {
        mLoop.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
    }
}
