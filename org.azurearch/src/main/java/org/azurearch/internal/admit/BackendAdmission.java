package org.azurearch.internal.admit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.List;
import org.azurearch.admit.Admission;
import org.azurearch.admit.AdmissionDecision;
import org.azurearch.admit.AdmissionEffect;
import org.azurearch.admit.AdmissionRequest;
import org.azurearch.admit.Refusal;
import org.azurearch.member.Announcement;
import org.azurearch.member.BackendState;
import org.azurearch.member.LocalBackend;
import org.azurearch.time.TimeSource;
import org.jspecify.annotations.Nullable;

/**
 * Admission of calls to this node's backend server. Thread-safe, since all event loops share it:
 * decisions are made under a lock, callbacks run after it is released.
 */
public final class BackendAdmission {
    /** Receives the decision on a call's request for a slot. */
    public interface SlotCallback {
        /** Called when the call has got a slot, possibly on another thread. */
        void admitted();

        /** Called when the call is refused, possibly on another thread. */
        void refused(Refusal refusal);
    }

    private final LocalBackend mBackend;
    private final TimeSource mTime;
    private final Object mLock = new Object();
    private final Admission<SlotCallback> mAdmission = new Admission<>();
    private volatile int mFreeSlots;
    private volatile @Nullable Announcement mAnnouncement;

    /** Creates the admission and registers a listener for the backend server's state. */
    public BackendAdmission(LocalBackend backend, TimeSource time, MetricRegistry metrics) {
        mBackend = backend;
        mTime = time;
        metrics.gauge("calls.slots.free", () -> (Gauge<Integer>) this::freeSlots);
        metrics.gauge("calls.slots.limit", () -> (Gauge<Integer>) this::limit);
        metrics.gauge("calls.queue.depth", () -> (Gauge<Integer>) this::waiting);
        backend.addListener(state -> refresh());
        refresh();
    }

    /** Returns the announcement used for calls, or null if the backend server is not announced. */
    public @Nullable Announcement announcement() {
        return mAnnouncement;
    }

    /** Returns the number of free slots less the number of queued calls. */
    public int freeSlots() {
        return mFreeSlots;
    }

    /** Requests a slot. Calls back on this thread before it returns, unless the call is queued. */
    public void requestSlot(SlotCallback callback, AdmissionRequest request) {
        AdmissionDecision decision;
        List<AdmissionEffect<SlotCallback>> effects;
        synchronized (mLock) {
            decision = mAdmission.offer(callback, request, mTime.nanos());
            effects = collectEffects();
        }
        notifyCallbacks(effects);
        Refusal refusal = decision.refusal();
        if (refusal != null) {
            callback.refused(refusal);
        } else if (decision.status() == AdmissionDecision.Status.ADMITTED) {
            callback.admitted();
        }
    }

    /**
     * Releases a slot.
     *
     * @param shed whether the backend server refused the call because of overload
     * @param serviceNanos how long the call held the slot; negative if that is no measure of the
     *     backend server's speed
     */
    public void releaseSlot(boolean shed, long serviceNanos) {
        List<AdmissionEffect<SlotCallback>> effects;
        synchronized (mLock) {
            mAdmission.releaseSlot(shed, serviceNanos, mTime.nanos());
            effects = collectEffects();
        }
        notifyCallbacks(effects);
    }

    /** Removes a call from the queue; returns false if it was not queued. */
    public boolean cancel(SlotCallback callback) {
        synchronized (mLock) {
            boolean queued = mAdmission.cancel(callback);
            mFreeSlots = mAdmission.freeSlots();
            return queued;
        }
    }

    /** Applies the current announcement and refuses the queued calls that have waited too long. */
    public void tick() {
        refresh();
        List<AdmissionEffect<SlotCallback>> effects;
        synchronized (mLock) {
            mAdmission.expire(mTime.nanos());
            effects = collectEffects();
        }
        notifyCallbacks(effects);
    }

    private void refresh() {
        Announcement announcement = mBackend.announcement();
        BackendState state = mBackend.state();
        boolean open = announcement != null && state == BackendState.READY;
        List<AdmissionEffect<SlotCallback>> effects;
        synchronized (mLock) {
            mAnnouncement = announcement;
            int slots = announcement == null ? 0 : announcement.slots();
            mAdmission.configure(open, slots, mTime.nanos());
            effects = collectEffects();
        }
        notifyCallbacks(effects);
    }

    private int limit() {
        synchronized (mLock) {
            return mAdmission.limit();
        }
    }

    private int waiting() {
        synchronized (mLock) {
            return mAdmission.waiting();
        }
    }

    private List<AdmissionEffect<SlotCallback>> collectEffects() {
        mFreeSlots = mAdmission.freeSlots();
        return mAdmission.takeEffects();
    }

    private static void notifyCallbacks(List<AdmissionEffect<SlotCallback>> effects) {
        for (AdmissionEffect<SlotCallback> effect : effects) {
            Refusal refusal = effect.refusal();
            if (refusal == null) {
                effect.call().admitted();
            } else {
                effect.call().refused(refusal);
            }
        }
    }
}
