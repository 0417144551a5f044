package org.azurearch.internal.admit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
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
        void admitted(Slot slot);

        /** Called when the call is refused, possibly on another thread. */
        void refused(Refusal refusal);
    }

    /** A slot of a backend server that a call holds. Thread-safe. */
    public final class Slot {
        private final Announcement mSlotServer;
        private final int mSlotGeneration;

        private Slot(Announcement server, int generation) {
            mSlotServer = server;
            mSlotGeneration = generation;
        }

        /** Returns the backend server. */
        public Announcement server() {
            return mSlotServer;
        }

        /** Returns whether no other backend server has taken its place. */
        public boolean current() {
            return mSlotGeneration == mGeneration;
        }

        /**
         * Releases the slot; without effect if another backend server has taken the place.
         *
         * @param shed whether the backend server refused the call because of overload
         * @param serviceNanos how long the call held the slot; negative if that is no measure of
         *     the backend server's speed
         */
        public void release(boolean shed, long serviceNanos) {
            releaseSlot(this, shed, serviceNanos);
        }
    }

    private final LocalBackend mBackend;
    private final TimeSource mTime;
    private final Object mLock = new Object();
    private final Admission<SlotCallback> mAdmission = new Admission<>();
    private volatile int mFreeSlots;
    private volatile @Nullable Announcement mAnnouncement;
    private volatile int mGeneration;
    private final List<Runnable> mReplacementListeners = new CopyOnWriteArrayList<>();
    private @Nullable Announcement mServer;

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

    /** Adds a listener that is called when another backend server has taken the place of one. */
    public void addReplacementListener(Runnable listener) {
        mReplacementListeners.add(listener);
    }

    /** Requests a slot. Calls back on this thread before it returns, unless the call is queued. */
    public void requestSlot(SlotCallback callback, AdmissionRequest request) {
        List<Runnable> callbacks;
        synchronized (mLock) {
            AdmissionDecision decision = mAdmission.offer(callback, request, mTime.nanos());
            callbacks = collectCallbacks();
            Refusal refusal = decision.refusal();
            if (refusal != null) {
                callbacks.add(() -> callback.refused(refusal));
            } else if (decision.status() == AdmissionDecision.Status.ADMITTED) {
                callbacks.add(admission(callback));
            }
        }
        callbacks.forEach(Runnable::run);
    }

    private void releaseSlot(Slot slot, boolean shed, long serviceNanos) {
        List<Runnable> callbacks;
        synchronized (mLock) {
            if (!slot.current()) {
                return;
            }
            mAdmission.releaseSlot(shed, serviceNanos, mTime.nanos());
            callbacks = collectCallbacks();
        }
        callbacks.forEach(Runnable::run);
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
        List<Runnable> callbacks;
        synchronized (mLock) {
            mAdmission.expire(mTime.nanos());
            callbacks = collectCallbacks();
        }
        callbacks.forEach(Runnable::run);
    }

    private void refresh() {
        Announcement announcement = mBackend.announcement();
        BackendState state = mBackend.state();
        boolean open = announcement != null && state == BackendState.READY;
        List<Runnable> callbacks;
        synchronized (mLock) {
            boolean replaced =
                    announcement != null && mServer != null && !mServer.sameServer(announcement);
            mAnnouncement = announcement;
            mServer = announcement == null ? mServer : announcement;
            if (replaced) {
                mGeneration++;
                mAdmission.replaceServer();
            }
            int slots = announcement == null ? 0 : announcement.slots();
            mAdmission.configure(open, slots, mTime.nanos());
            callbacks = collectCallbacks();
            if (replaced) {
                callbacks.addAll(mReplacementListeners);
            }
        }
        callbacks.forEach(Runnable::run);
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

    /** Returns what is to be called for the decisions on queued calls, outside of the lock. */
    private List<Runnable> collectCallbacks() {
        mFreeSlots = mAdmission.freeSlots();
        List<Runnable> callbacks = new ArrayList<>();
        for (AdmissionEffect<SlotCallback> effect : mAdmission.takeEffects()) {
            Refusal refusal = effect.refusal();
            callbacks.add(
                    refusal == null
                            ? admission(effect.call())
                            : () -> effect.call().refused(refusal));
        }
        return callbacks;
    }

    private Runnable admission(SlotCallback callback) {
        Slot slot = new Slot(Objects.requireNonNull(mServer), mGeneration);
        return () -> callback.admitted(slot);
    }
}
