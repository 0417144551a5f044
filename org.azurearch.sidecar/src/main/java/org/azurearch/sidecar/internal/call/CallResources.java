package org.azurearch.sidecar.internal.call;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.azurearch.sidecar.call.AttemptFailure;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.internal.suspect.SuspectTracker;
import org.jspecify.annotations.Nullable;

/**
 * The timers, the memory and the trial that a call holds until it ends. Confined to one event loop.
 */
final class CallResources {
    private final CallRouter mRouter;
    private final List<ScheduledFuture<?>> mTimers = new ArrayList<>(2);
    private double mReservedBytes;
    private SuspectTracker.@Nullable Trial mTrial;

    CallResources(CallRouter router) {
        mRouter = router;
    }

    /** Runs a task after a delay, unless the call has ended by then. */
    void schedule(Runnable task, long delayMillis) {
        mTimers.add(mRouter.loop().schedule(task, delayMillis, TimeUnit.MILLISECONDS));
    }

    /** Reserves memory for the answer; returns whether there is enough. */
    boolean tryReserveAnswer(double expectedBytes) {
        boolean reserved = mRouter.tryReserveAnswer(expectedBytes);
        mReservedBytes = reserved ? expectedBytes : 0;
        return reserved;
    }

    /** Returns why a call is refused if backend servers crashed under calls like it. */
    @Nullable AttemptFailure containment(HopCall call) {
        AttemptFailure contained = mRouter.suspects().containment(call);
        if (contained != null) {
            return contained;
        }
        mTrial = mRouter.suspects().beginTrial(call);
        return mTrial == null ? null : mTrial.refusal();
    }

    /** Returns whether the call is a trial of a request that may crash backend servers. */
    boolean onTrial() {
        return mTrial != null;
    }

    /** Ends the trial, cancels the timers and returns the memory. */
    void release() {
        mTimers.forEach(timer -> timer.cancel(false));
        mRouter.releaseAnswer(mReservedBytes);
        if (mTrial != null) {
            mTrial.end();
        }
    }
}
