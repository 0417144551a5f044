package org.azurearch.sidecar.internal.hop;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.azurearch.sidecar.call.Attempt;
import org.azurearch.sidecar.call.AttemptFailure;

/**
 * The calls that were sent to a peer and whose outcomes have not arrived. Confined to one event
 * loop.
 */
final class PendingCalls {
    private static final class Call {
        private final Attempt.Listener mListener;
        private boolean mWithdrawn;
        private boolean mReportedSilent;

        Call(Attempt.Listener listener) {
            mListener = listener;
        }
    }

    private final Map<Long, Call> mCalls = new HashMap<>();
    private List<Long> mReceived = new ArrayList<>();

    /** Adds a call that is sent now. */
    void add(long id, Attempt.Listener listener) {
        mCalls.put(id, new Call(listener));
    }

    /** Returns the number of calls. */
    int size() {
        return mCalls.size();
    }

    boolean isEmpty() {
        return mCalls.isEmpty();
    }

    /** Returns the ids of all calls. */
    List<Long> ids() {
        return List.copyOf(mCalls.keySet());
    }

    /** Returns the ids of the withdrawn calls. */
    List<Long> withdrawn() {
        List<Long> ids = new ArrayList<>();
        mCalls.forEach(
                (id, call) -> {
                    if (call.mWithdrawn) {
                        ids.add(id);
                    }
                });
        return ids;
    }

    /** Marks a call as withdrawn; returns false if it has ended. */
    boolean withdraw(long id) {
        Call call = mCalls.get(id);
        if (call != null) {
            call.mWithdrawn = true;
        }
        return call != null;
    }

    /** Removes a call that is cancelled; returns false if it has ended. */
    boolean cancel(long id) {
        return mCalls.remove(id) != null;
    }

    /** Ends a call with the outcome that has arrived, unless it has ended. */
    void complete(long id, Consumer<Attempt.Listener> outcome) {
        mReceived.add(id);
        Call call = mCalls.remove(id);
        if (call != null) {
            outcome.accept(call.mListener);
        }
    }

    /** Returns the calls whose outcomes have arrived since this was last called. */
    List<Long> takeReceived() {
        List<Long> received = mReceived;
        mReceived = new ArrayList<>();
        return received;
    }

    /** Records that the peer is heard. */
    void heard() {
        mCalls.values().forEach(call -> call.mReportedSilent = false);
    }

    /** Tells each call once, until the peer is heard, that its outcome may be late. */
    void reportSilent() {
        for (Call call : List.copyOf(mCalls.values())) {
            if (!call.mReportedSilent) {
                call.mReportedSilent = true;
                call.mListener.peerSilent();
            }
        }
    }

    /** Ends all calls. */
    void failAll(AttemptFailure failure) {
        fail(ids(), id -> true, failure);
    }

    /**
     * Ends some calls.
     *
     * @param candidates the ids of calls, which may have ended
     * @return the number of calls that it ended
     */
    int fail(List<Long> candidates, Predicate<Long> selected, AttemptFailure failure) {
        Set<Long> ids = new HashSet<>(candidates);
        ids.removeIf(id -> !mCalls.containsKey(id) || !selected.test(id));
        List<Call> failed = new ArrayList<>();
        ids.forEach(id -> failed.add(mCalls.remove(id)));
        failed.forEach(call -> call.mListener.failed(failure));
        return failed.size();
    }
}
