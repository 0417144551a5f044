package org.azurearch.sidecar.internal.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.azurearch.errors.Completions;
import org.azurearch.events.EventLog;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.rollout.RolloutCoordinator;
import org.azurearch.sidecar.rollout.RolloutState;
import org.azurearch.sidecar.rollout.Verdict;
import org.azurearch.thrift.WireRolloutMessage;
import org.jspecify.annotations.Nullable;

/**
 * The work of a coordinator: saves states, tells the nodes and writes the status for operators.
 * Stopping is told before it is saved; every other decision after. Confined to one event loop.
 */
final class RolloutLead {
    /** Wait after a failed store call; refused calls are charged too. */
    private static final long STORE_RETRY_MILLIS = 500;

    /**
     * Age of a final state at which the first candidate writes the status itself, as the
     * coordinator that saved the state may have ended before it did.
     */
    private static final long STATUS_TAKEOVER_MILLIS = 1_500;

    /** Attempts to write one status record. */
    private static final int MAX_STATUS_ATTEMPTS = 20;

    private static final long NEVER = Long.MIN_VALUE / 2;

    /** What this node does as the coordinator of one service. */
    private static final class Work {
        private boolean mLeads;
        private boolean mLoaded;
        private boolean mCallPending;
        private boolean mStoreDown;
        private long mRetryMillis = NEVER;
        private @Nullable RolloutState mStatusDue;
        private long mStatusDueMillis;
        private int mStatusAttempts;
        private final Set<String> mStatusSeen = new HashSet<>();
    }

    private final RolloutStore mStore;
    private final Consumer<WireRolloutMessage> mBroadcast;
    private final LongSupplier mClock;
    private final Map<String, Work> mWork = new HashMap<>();

    RolloutLead(RolloutStore store, Consumer<WireRolloutMessage> broadcast, LongSupplier clock) {
        mStore = store;
        mBroadcast = broadcast;
        mClock = clock;
    }

    private Work work(String service) {
        return mWork.computeIfAbsent(service, name -> new Work());
    }

    /** Returns whether a status may still have to be written by this node. */
    boolean owesStatus(ServiceRollout rollout) {
        Work work = mWork.get(rollout.service());
        return work != null && work.mStatusDue != null;
    }

    /**
     * Leads a roll-out if this node is its coordinator.
     *
     * @param report whether a report to the nodes is due
     */
    void tick(ServiceRollout rollout, long now, boolean report) {
        Work work = work(rollout.service());
        boolean leads = rollout.active() && rollout.leadership().leads(now);
        if (leads != work.mLeads) {
            work.mLeads = leads;
            EventLog.log(
                    SidecarEvent.ROLLOUT_COORDINATOR,
                    rollout.service(),
                    rollout.orderId(),
                    leads,
                    rollout.leadership().rank());
        }
        if (leads) {
            rollout.renewLease(now);
            decide(rollout, work, now);
            if (report) {
                report(rollout, work, now);
            }
        }
        noteFinal(rollout, work, now);
        writeStatus(work, now);
    }

    private void decide(ServiceRollout rollout, Work work, long now) {
        if (!work.mLoaded) {
            if (mayCall(work, now)) {
                load(rollout, work);
            }
            return;
        }
        RolloutState state = rollout.state(now);
        RolloutState next = rollout.next(now);
        if (next == null) {
            return;
        }
        boolean changed = state == null || next.supersedes(state);
        if (!changed) {
            rollout.merge(next, now);
        } else if (!savedFirst(state, next)) {
            rollout.merge(next, now);
            report(rollout, work, now);
        } else if (mayCall(work, now)) {
            save(rollout, work, next);
        }
    }

    /** The share is raised to more than a first look only while the store can be written. */
    private static boolean savedFirst(@Nullable RolloutState state, RolloutState next) {
        boolean begins = state == null || state.orderId() != next.orderId();
        boolean ramps = next.running() && next.step() == RolloutCoordinator.FIRST_RAMP;
        return begins || ramps || next.verdict().isFinal();
    }

    private static boolean mayCall(Work work, long now) {
        return !work.mCallPending && now - work.mRetryMillis >= STORE_RETRY_MILLIS;
    }

    private void load(ServiceRollout rollout, Work work) {
        work.mCallPending = true;
        mStore.load(rollout.service())
                .whenComplete(
                        (state, failure) -> {
                            called(work, failure);
                            if (failure == null) {
                                work.mLoaded = true;
                                if (state != null) {
                                    adopt(rollout, work, state);
                                }
                            } else {
                                notSaved(rollout.service(), null, failure);
                            }
                        });
    }

    private void save(ServiceRollout rollout, Work work, RolloutState next) {
        work.mCallPending = true;
        mStore.save(next)
                .whenComplete(
                        (saved, failure) -> {
                            called(work, failure);
                            if (failure == null) {
                                adopt(rollout, work, saved);
                                if (saved == next) {
                                    statusDue(work, saved, mClock.getAsLong());
                                }
                            } else {
                                notSaved(rollout.service(), next.verdict(), failure);
                            }
                        });
    }

    private void adopt(ServiceRollout rollout, Work work, RolloutState state) {
        long now = mClock.getAsLong();
        if (rollout.merge(state, now)) {
            report(rollout, work, now);
        }
    }

    private void called(Work work, @Nullable Throwable failure) {
        work.mCallPending = false;
        work.mStoreDown = failure != null;
        work.mRetryMillis = failure == null ? NEVER : mClock.getAsLong();
    }

    private static void notSaved(String service, @Nullable Verdict verdict, Throwable failure) {
        EventLog.log(
                SidecarEvent.ROLLOUT_NOT_SAVED,
                service,
                verdict == null ? "unknown" : verdict,
                Completions.unwrap(failure).toString());
    }

    private void report(ServiceRollout rollout, Work work, long now) {
        RolloutState state = rollout.state(now);
        if (state != null) {
            WireRolloutMessage message =
                    new WireRolloutMessage(now)
                            .setStates(List.of(RolloutWire.toWire(state)))
                            .setCoordinator("");
            if (work.mStoreDown) {
                message.setStoreDown(true);
            }
            mBroadcast.accept(message);
        }
    }

    /** Makes the first candidate write the status of a final state that another node saved. */
    private static void noteFinal(ServiceRollout rollout, Work work, long now) {
        RolloutState state = rollout.state(now);
        boolean over = state != null && state.verdict().isFinal();
        if (state != null && over && rollout.leadership().rank() <= 1) {
            String id = state.orderId() + " " + state.verdict();
            if (!work.mStatusSeen.contains(id)) {
                statusDue(work, state, now + STATUS_TAKEOVER_MILLIS);
            }
        }
    }

    private static void statusDue(Work work, RolloutState state, long atMillis) {
        work.mStatusSeen.add(state.orderId() + " " + state.verdict());
        work.mStatusDue = state;
        work.mStatusDueMillis = atMillis;
        work.mStatusAttempts = 0;
    }

    private void writeStatus(Work work, long now) {
        RolloutState due = work.mStatusDue;
        if (due == null || now < work.mStatusDueMillis || !mayCall(work, now)) {
            return;
        }
        if (++work.mStatusAttempts > MAX_STATUS_ATTEMPTS) {
            work.mStatusDue = null;
            return;
        }
        work.mCallPending = true;
        mStore.publish(due)
                .whenComplete(
                        (written, failure) -> {
                            called(work, failure);
                            if (failure != null) {
                                notSaved(due.service(), due.verdict(), failure);
                            } else if (written && work.mStatusDue == due) {
                                work.mStatusDue = null;
                            }
                        });
    }
}
