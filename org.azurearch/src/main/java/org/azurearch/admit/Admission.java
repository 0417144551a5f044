package org.azurearch.admit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.azurearch.admit.AdmissionQueue.QueuedCall;
import org.azurearch.errors.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * Decides which calls the backend server behind this node gets, and when. Does no I/O and reads no
 * clock. Not thread-safe.
 *
 * <p>Every slot in use is known here, since all calls to the backend server pass this node. A call
 * that cannot be served in time is refused at once.
 *
 * @param <T> the type that stands for a call
 */
public final class Admission<T> {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long CLOSED_RETRY_MILLIS = 1_000L;
    private static final int MAX_FIRMS = 64;

    private final ConcurrencyLimit mLimit = new ConcurrencyLimit();
    private final AdmissionQueue<T> mQueue = new AdmissionQueue<>();
    private final Map<String, RateLimit> mRateLimits = new HashMap<>();
    private final List<AdmissionEffect<T>> mEffects = new ArrayList<>();
    private boolean mOpen;
    private int mInUse;

    /**
     * Sets what the backend server offers. When it is closed, all calls that wait are refused.
     *
     * @param open whether it takes new calls
     * @param slots calls that it runs at once
     * @param nowNanos the time
     */
    public void configure(boolean open, int slots, long nowNanos) {
        mOpen = open;
        mLimit.slots(slots);
        if (!open) {
            QueuedCall<T> waiting = mQueue.poll();
            while (waiting != null) {
                mEffects.add(new AdmissionEffect<>(waiting.call(), closedRefusal()));
                waiting = mQueue.poll();
            }
        }
        dispatch(nowNanos);
    }

    /**
     * Decides on a new call.
     *
     * @param call stands for the call in later effects
     * @param request what is known of it
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
     * Takes note that a call has given back its slot.
     *
     * @param shed whether the backend server refused it for overload
     * @param serviceNanos how long it held the slot, or a negative number when that says nothing of
     *     the backend server's speed
     * @param nowNanos the time
     */
    public void completed(boolean shed, long serviceNanos, long nowNanos) {
        boolean atLimit = mInUse >= mLimit.current();
        mInUse--;
        if (shed) {
            mLimit.recordShed(nowNanos);
        } else if (serviceNanos >= 0) {
            mLimit.recordServed(serviceNanos, atLimit, nowNanos);
        }
        dispatch(nowNanos);
    }

    /** Removes a call that waits, and says whether it did. */
    public boolean cancel(T call) {
        return mQueue.remove(call);
    }

    /** Refuses the calls whose time to wait is over. */
    public void expire(long nowNanos) {
        mQueue.pollExpired(nowNanos).forEach(waiting -> refuseExpired(waiting, nowNanos));
    }

    /** Takes the decisions on calls that waited, made since the last time this was called. */
    public List<AdmissionEffect<T>> takeEffects() {
        if (mEffects.isEmpty()) {
            return List.of();
        }
        List<AdmissionEffect<T>> effects = List.copyOf(mEffects);
        mEffects.clear();
        return effects;
    }

    /** Returns the slots that are free; negative when calls wait. */
    public int freeSlots() {
        return mOpen ? mLimit.current() - mInUse - mQueue.size() : 0;
    }

    /** Returns the slots in use. */
    public int inUse() {
        return mInUse;
    }

    /** Returns how many calls wait. */
    public int waiting() {
        return mQueue.size();
    }

    /** Returns how many calls the backend server is given at once. */
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
        if (expectedWaitNanos(request.priority()) > mayWait || !makeRoom(request)) {
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
        QueuedCall<T> evicted = mQueue.pollNewestBelow(request.priority());
        if (evicted == null) {
            return false;
        }
        Refusal refusal = new Refusal(ErrorCode.OVERLOADED, retryAfterMillis(evicted.request()));
        mEffects.add(new AdmissionEffect<>(evicted.call(), refusal));
        return true;
    }

    /** Refuses a call that cannot be served in time any more, so that no slot works for it. */
    private void refuseExpired(QueuedCall<T> waiting, long nowNanos) {
        boolean late = nowNanos - waiting.request().deadlineNanos() >= 0;
        ErrorCode code = late ? ErrorCode.DEADLINE_EXCEEDED : ErrorCode.OVERLOADED;
        Refusal refusal = new Refusal(code, retryAfterMillis(waiting.request()));
        mEffects.add(new AdmissionEffect<>(waiting.call(), refusal));
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

    private long expectedWaitNanos(int priority) {
        long rounds = mQueue.countAhead(priority) + 1L;
        return rounds * mLimit.serviceNanos() / Math.max(1, mLimit.current());
    }

    private long retryAfterMillis(AdmissionRequest request) {
        return 1 + expectedWaitNanos(request.priority()) / NANOS_PER_MILLI;
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
