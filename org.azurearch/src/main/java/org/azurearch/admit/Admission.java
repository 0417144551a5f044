package org.azurearch.admit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.azurearch.admit.AdmissionQueue.QueuedCall;
import org.azurearch.errors.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether and when calls are sent to this node's backend server. Does no I/O and reads no
 * clock. Not thread-safe.
 *
 * <p>The count of slots in use is exact, since all calls to the backend server pass through this
 * node. A call that cannot be served in time is refused at once.
 *
 * @param <T> the type that stands for a call
 */
public final class Admission<T> {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long CLOSED_RETRY_MILLIS = 1_000L;
    private static final int MAX_FIRMS = 64;

    private ConcurrencyLimit mLimit = new ConcurrencyLimit();
    private final AdmissionQueue<T> mQueue = new AdmissionQueue<>();
    private final Map<String, RateLimit> mRateLimits = new HashMap<>();
    private final List<AdmissionEffect<T>> mEffects = new ArrayList<>();
    private boolean mOpen;
    private int mInUse;

    /**
     * Sets the state and capacity of the backend server. If it takes no new calls, all queued calls
     * are refused.
     *
     * @param open whether it takes new calls
     * @param slots the number of calls that it runs concurrently
     * @param nowNanos the time
     */
    public void configure(boolean open, int slots, long nowNanos) {
        mOpen = open;
        mLimit.slots(slots);
        if (!open) {
            refuseQueued();
        }
        dispatch(nowNanos);
    }

    /**
     * Starts anew for another backend server, which has taken the place of the previous one: all
     * slots are free, and all queued calls are refused. Slots of the previous one must not be
     * released any more.
     */
    public void replaceServer() {
        mLimit = new ConcurrencyLimit();
        mInUse = 0;
        refuseQueued();
    }

    private void refuseQueued() {
        QueuedCall<T> queued = mQueue.poll();
        while (queued != null) {
            mEffects.add(new AdmissionEffect<>(queued.call(), closedRefusal()));
            queued = mQueue.poll();
        }
    }

    /**
     * Decides on a new call.
     *
     * @param call identifies the call in later effects
     * @param request the data that the decision depends on
     * @param nowNanos the time
     */
    public AdmissionDecision offer(T call, AdmissionRequest request, long nowNanos) {
        Refusal refusal = immediateRefusal(request, nowNanos);
        if (refusal != null) {
            return AdmissionDecision.refused(refusal);
        }
        if (mInUse < mLimit.current()) {
            mInUse++;
            return AdmissionDecision.ADMITTED;
        }
        return enqueue(call, request, nowNanos);
    }

    /**
     * Releases the slot of a call.
     *
     * @param shed whether the backend server refused the call because of overload
     * @param serviceNanos how long the call held the slot; negative if that is no measure of the
     *     backend server's speed
     * @param nowNanos the time
     */
    public void releaseSlot(boolean shed, long serviceNanos, long nowNanos) {
        boolean atLimit = mInUse >= mLimit.current();
        mInUse--;
        if (shed) {
            mLimit.recordShed(nowNanos);
        } else if (serviceNanos >= 0) {
            mLimit.recordServed(serviceNanos, atLimit, nowNanos);
        }
        dispatch(nowNanos);
    }

    /** Removes a call from the queue; returns false if it was not queued. */
    public boolean cancel(T call) {
        return mQueue.remove(call);
    }

    /** Refuses the queued calls that have waited too long. */
    public void expire(long nowNanos) {
        mQueue.pollExpired(nowNanos).forEach(queued -> refuseExpired(queued, nowNanos));
    }

    /** Returns and clears the decisions on queued calls made since the last call of this method. */
    public List<AdmissionEffect<T>> takeEffects() {
        if (mEffects.isEmpty()) {
            return List.of();
        }
        List<AdmissionEffect<T>> effects = List.copyOf(mEffects);
        mEffects.clear();
        return effects;
    }

    /** Returns the number of free slots less the number of queued calls; 0 when closed. */
    public int freeSlots() {
        return mOpen ? mLimit.current() - mInUse - mQueue.size() : 0;
    }

    /** Returns the number of slots in use. */
    public int inUse() {
        return mInUse;
    }

    /** Returns the number of queued calls. */
    public int waiting() {
        return mQueue.size();
    }

    /** Returns the current limit of concurrent calls to the backend server. */
    public int limit() {
        return mLimit.current();
    }

    private @Nullable Refusal immediateRefusal(AdmissionRequest request, long nowNanos) {
        if (!mOpen) {
            return closedRefusal();
        }
        if (nowNanos - request.deadlineNanos() >= 0) {
            return new Refusal(ErrorCode.DEADLINE_EXCEEDED, 0);
        }
        if (request.callsPerSecond() > 0) {
            RateLimit rate = rateLimit(request, nowNanos);
            if (!rate.tryTake(request.callsPerSecond(), nowNanos)) {
                return new Refusal(ErrorCode.RATE_LIMITED, rate.retryAfterMillis());
            }
        }
        return null;
    }

    private AdmissionDecision enqueue(T call, AdmissionRequest request, long nowNanos) {
        long untilDeadline = request.deadlineNanos() - nowNanos - mLimit.serviceNanos();
        long mayWait = Math.min(request.queueWaitNanos(), untilDeadline);
        if (expectedWaitNanos(request.rank()) > mayWait || !makeRoom(request)) {
            return AdmissionDecision.refused(
                    new Refusal(ErrorCode.OVERLOADED, retryAfterMillis(request)));
        }
        mQueue.add(new QueuedCall<>(call, request, nowNanos + mayWait));
        return AdmissionDecision.QUEUED;
    }

    private boolean makeRoom(AdmissionRequest request) {
        if (mQueue.size() < request.queueLength()) {
            return true;
        }
        QueuedCall<T> evicted = mQueue.pollNewestBelow(request.rank());
        if (evicted == null) {
            return false;
        }
        Refusal refusal = new Refusal(ErrorCode.OVERLOADED, retryAfterMillis(evicted.request()));
        mEffects.add(new AdmissionEffect<>(evicted.call(), refusal));
        return true;
    }

    /** Refuses a call that can no longer be served in time, so that it takes up no slot. */
    private void refuseExpired(QueuedCall<T> queued, long nowNanos) {
        boolean late = nowNanos - queued.request().deadlineNanos() >= 0;
        ErrorCode code = late ? ErrorCode.DEADLINE_EXCEEDED : ErrorCode.OVERLOADED;
        Refusal refusal = new Refusal(code, retryAfterMillis(queued.request()));
        mEffects.add(new AdmissionEffect<>(queued.call(), refusal));
    }

    private void dispatch(long nowNanos) {
        while (mOpen && mInUse < mLimit.current()) {
            QueuedCall<T> next = mQueue.poll();
            if (next == null) {
                return;
            }
            if (nowNanos - next.expiresAtNanos() > 0) {
                refuseExpired(next, nowNanos);
            } else {
                mInUse++;
                mEffects.add(new AdmissionEffect<>(next.call(), null));
            }
        }
    }

    private long expectedWaitNanos(int rank) {
        long rounds = mQueue.countAhead(rank) + 1L;
        return rounds * mLimit.serviceNanos() / Math.max(1, mLimit.current());
    }

    private long retryAfterMillis(AdmissionRequest request) {
        return 1 + expectedWaitNanos(request.rank()) / NANOS_PER_MILLI;
    }

    private RateLimit rateLimit(AdmissionRequest request, long nowNanos) {
        if (mRateLimits.size() > MAX_FIRMS) {
            mRateLimits.clear();
        }
        return mRateLimits.computeIfAbsent(
                request.firm(), firm -> new RateLimit(request.callsPerSecond(), nowNanos));
    }

    private static Refusal closedRefusal() {
        return new Refusal(ErrorCode.NO_BACKEND_SERVER, CLOSED_RETRY_MILLIS);
    }
}
