package org.azurearch.sidecar.internal.suspect;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.azurearch.sidecar.call.HopCall;

/**
 * Detects that a run of the backend server has fallen silent under its requests, without closing
 * their connections: it sends neither answers nor heartbeats, and does not answer a health check.
 * Confined to one event loop.
 */
public final class SilenceDetector {
    /** Checks the backend server and acts on its silence. */
    public interface Listener {
        /** Sends a health check and passes on whether there was any answer. */
        void check(Consumer<Boolean> answered);

        /** Called when the backend server has fallen silent under these requests. */
        void fellSilent(List<HopCall> requests);
    }

    /** Silence before a health check is sent. */
    private static final long MIN_SILENCE_MILLIS = 1_000;

    /** The same in periods of the heartbeat, of which one may be late. */
    private static final double MIN_SILENCE_PERIODS = 1.5;

    private static final long CHECK_MILLIS = 250;

    /** Limit of the requests remembered that ended without an answer. */
    private static final int MAX_ABANDONED = 64;

    private final EventLoop mLoop;
    private final Listener mListener;
    private final long mSilenceNanos;
    private final Map<HopCall, Boolean> mRunning = new IdentityHashMap<>();
    private final List<HopCall> mAbandoned = new ArrayList<>();
    private long mLastSignNanos = System.nanoTime();
    private boolean mScheduled;
    private boolean mChecking;
    private boolean mStopped;

    /**
     * Creates a detector.
     *
     * @param loop the event loop of the node
     * @param heartbeatMillis the period of the heartbeats
     * @param listener acts on silence
     */
    public SilenceDetector(EventLoop loop, long heartbeatMillis, Listener listener) {
        mLoop = loop;
        mListener = listener;
        long millis = (long) (heartbeatMillis * MIN_SILENCE_PERIODS);
        mSilenceNanos = TimeUnit.MILLISECONDS.toNanos(Math.max(MIN_SILENCE_MILLIS, millis));
    }

    /** Records that a request was sent to the backend server. */
    public void sent(HopCall call) {
        if (mRunning.isEmpty() && mAbandoned.isEmpty()) {
            mLastSignNanos = System.nanoTime();
        }
        mRunning.put(call, Boolean.TRUE);
        schedule();
    }

    /**
     * Records that a request that was sent has ended.
     *
     * @param responded whether the backend server sent an answer or closed the connection
     */
    public void ended(HopCall call, boolean responded) {
        boolean known = mRunning.remove(call) != null;
        if (responded) {
            signOfLife();
        } else if (known && mAbandoned.size() < MAX_ABANDONED) {
            mAbandoned.add(call);
        }
    }

    /** Records that the backend server has shown that it runs. */
    public void signOfLife() {
        mLastSignNanos = System.nanoTime();
        mAbandoned.clear();
    }

    /**
     * Stops for good, as another run of the backend server has taken the place of this one; the
     * outcome of a pending check is ignored.
     *
     * @return the requests without an answer since the last sign of life
     */
    public List<HopCall> stop() {
        mStopped = true;
        return takeUnanswered();
    }

    private List<HopCall> takeUnanswered() {
        List<HopCall> requests = new ArrayList<>(mAbandoned);
        requests.addAll(mRunning.keySet());
        mRunning.clear();
        mAbandoned.clear();
        return requests;
    }

    private void schedule() {
        if (!mScheduled && !mStopped) {
            mScheduled = true;
            mLoop.schedule(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void check() {
        mScheduled = false;
        if (mStopped || (mRunning.isEmpty() && mAbandoned.isEmpty())) {
            return;
        }
        schedule();
        if (!mChecking && System.nanoTime() - mLastSignNanos >= mSilenceNanos) {
            mChecking = true;
            mListener.check(this::checked);
        }
    }

    private void checked(boolean answered) {
        mChecking = false;
        if (mStopped) {
            return;
        }
        boolean silent = System.nanoTime() - mLastSignNanos >= mSilenceNanos;
        if (answered || !silent) {
            signOfLife();
            return;
        }
        mListener.fellSilent(takeUnanswered());
    }
}
