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
 * Guards the one backend server behind this node. Event loops share it, so each decision is made
 * under a lock that is held for the decision alone; its outcome is carried out after.
 */
public final class BackendAdmission {
    /** A call that asks for a slot. */
    public interface SlotCallback {
        /** The call holds a slot; may be called on any thread. */
        void admitted();

        /** The call is refused; may be called on any thread. */
        void refused(Refusal refusal);
    }

    private final LocalBackend mBackend;
    private final TimeSource mTime;
    private final Object mLock = new Object();
    private final Admission<SlotCallback> mAdmission = new Admission<>();
    private volatile int mFreeSlots;
    private volatile @Nullable Announcement mAnnouncement;

    /** Creates the gate and follows the state of the backend server from now on. */
    public BackendAdmission(LocalBackend backend, TimeSource time, MetricRegistry metrics) {
        mBackend = backend;
        mTime = time;
        metrics.gauge("calls.slots.free", () -> (Gauge<Integer>) this::freeSlots);
        metrics.gauge("calls.slots.limit", () -> (Gauge<Integer>) this::limit);
        metrics.gauge("calls.queue.depth", () -> (Gauge<Integer>) this::waiting);
        backend.listen(state -> refresh());
        refresh();
    }

    /** Returns the announcement that calls go by, or null when there is none. */
    public @Nullable Announcement announcement() {
        return mAnnouncement;
    }

    /** Returns the slots that are free; negative when calls wait. */
    public int freeSlots() {
        return mFreeSlots;
    }

    /** Asks for a slot; the waiter is told on this thread unless it has to wait. */
    public void requestSlot(SlotCallback waiter, AdmissionRequest request) {
        AdmissionDecision decision;
        List<AdmissionEffect<SlotCallback>> effects;
        synchronized (mLock) {
            decision = mAdmission.offer(waiter, request, mTime.nanos());
            effects = collectEffects();
        }
        notifyCallbacks(effects);
        Refusal refusal = decision.refusal();
        if (refusal != null) {
            waiter.refused(refusal);
        } else if (decision.status() == AdmissionDecision.Status.ADMITTED) {
            waiter.admitted();
        }
    }

    /**
     * Gives back a slot.
     *
     * @param shed whether the backend server refused the call for overload
     * @param serviceNanos how long the call held the slot; negative when that says nothing
     */
    public void releaseSlot(boolean shed, long serviceNanos) {
        List<AdmissionEffect<SlotCallback>> effects;
        synchronized (mLock) {
            mAdmission.completed(shed, serviceNanos, mTime.nanos());
            effects = collectEffects();
        }
        notifyCallbacks(effects);
    }

    /** Stops waiting for a slot, and says whether the call still waited. */
    public boolean cancel(SlotCallback waiter) {
        synchronized (mLock) {
            boolean waited = mAdmission.cancel(waiter);
            mFreeSlots = mAdmission.freeSlots();
            return waited;
        }
    }

    /** Refuses calls that have waited too long and takes over what the backend server announced. */
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
