package org.azurearch.sidecar.internal.hop;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.azurearch.internal.call.RequestMemory;
import org.azurearch.sidecar.call.Attempt;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.route.EndpointLoad;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WireHopSession;
import org.azurearch.thrift.WireHopSessionReply;
import org.jspecify.annotations.Nullable;

/**
 * The calls of a peer, at the end that received them. They outlive the connection over which they
 * arrived if the peer, which has a {@link LinkSession}, has named the session. Confined to one
 * event loop.
 */
final class CallSession {
    /** A call under way. */
    record Call(
            Attempt attempt, boolean idempotent, long deadlineNanos, RequestMemory.Lease memory) {
        /** Cancels the call; returns whether it has not run and never will. */
        boolean cancel() {
            memory.release();
            return attempt.cancel();
        }
    }

    private final HeldOutcomes mHeld;
    private final long mId;
    private final boolean mNamed;
    private final Map<Long, Call> mCalls = new HashMap<>();
    private @Nullable HopConnection mConnection;
    private long mConnectionNumber;
    private long mLastCall;
    private long mLostNanos;
    private long mOutcomeLostNanos;

    private CallSession(HeldOutcomes held, long id, boolean named) {
        mHeld = held;
        mId = id;
        mNamed = named;
    }

    /** Returns a session that ends with its connection. */
    static CallSession ofConnection(HeldOutcomes held, HopConnection connection) {
        CallSession session = new CallSession(held, 0, false);
        session.mConnection = connection;
        return session;
    }

    /** Returns a session that a peer has named, without a connection. */
    static CallSession named(HeldOutcomes held, WireHopSession wire) {
        CallSession session = new CallSession(held, wire.getSession(), true);
        // Calls that are pending may have arrived in a session that was forgotten.
        wire.getPending().forEach(id -> session.mLastCall = Math.max(session.mLastCall, id));
        return session;
    }

    /** Returns whether the session outlives its connections. */
    boolean named() {
        return mNamed;
    }

    /** Returns the connection that carries the calls, or null if it is lost. */
    @Nullable HopConnection connection() {
        return mConnection;
    }

    /** Returns whether a connection is newer than all others of the session. */
    boolean accepts(WireHopSession wire) {
        return wire.getConnection() > mConnectionNumber;
    }

    /** Adds a call that is under way. */
    void add(HopCall call, Attempt attempt, RequestMemory.Lease memory) {
        mCalls.put(call.id(), new Call(attempt, call.idempotent(), call.deadlineNanos(), memory));
    }

    /** Returns the calls under way by id. */
    Map<Long, Call> calls() {
        return mCalls;
    }

    /** Returns the ids of the idempotent calls. */
    List<Long> idempotentCalls() {
        List<Long> ids = new ArrayList<>();
        mCalls.forEach(
                (id, call) -> {
                    if (call.idempotent()) {
                        ids.add(id);
                    }
                });
        return ids;
    }

    /** Fails the calls that have not been sent to the backend server. */
    void withdrawCalls() {
        List.copyOf(mCalls.values()).forEach(call -> call.attempt().withdraw());
    }

    /**
     * Moves the session to a newer connection: ends the calls that the peer does not await any
     * more, and sends the outcomes that it may have missed.
     *
     * @param run identifies this run of the node
     * @param load the present load, which replaces that of the outcomes
     */
    void resume(HopConnection connection, WireHopSession wire, long run, EndpointLoad load) {
        mConnection = connection;
        mConnectionNumber = wire.getConnection();
        Set<Long> awaited = new HashSet<>(wire.getPending());
        for (long id : List.copyOf(mCalls.keySet())) {
            Call call = awaited.contains(id) ? null : mCalls.remove(id);
            if (call != null) {
                call.cancel();
            }
        }
        mHeld.retain(mId, awaited);
        List<Long> known = new ArrayList<>();
        List<HopFrame> outcomes = new ArrayList<>();
        for (long id : awaited) {
            HopFrame outcome = mHeld.get(mId, id);
            if (outcome != null) {
                outcomes.add(outcome);
            }
            if (outcome != null || mCalls.containsKey(id)) {
                known.add(id);
            }
        }
        connection.send(HopFrame.sessionReply(new WireHopSessionReply(run, mLastCall, known)));
        outcomes.forEach(outcome -> connection.send(withLoad(outcome, load)));
    }

    private static HopFrame withLoad(HopFrame outcome, EndpointLoad load) {
        if (outcome.isSetAnswer()) {
            outcome.getAnswer().setLoad(HopWire.toWire(load));
        } else {
            outcome.getFailure().setLoad(HopWire.toWire(load));
        }
        return outcome;
    }

    /** Records that the connection is lost. */
    void connectionLost() {
        mConnection = null;
        mLostNanos = 0;
        mOutcomeLostNanos = 0;
    }

    /**
     * Advances the time without a connection.
     *
     * @param nanos the time in which this process could have heard the peer
     */
    void passed(long nanos) {
        if (mConnection == null) {
            mLostNanos += nanos;
            mOutcomeLostNanos += nanos;
        }
    }

    /** Returns for how long the session has had no connection, or 0 if it has one. */
    long lostNanos() {
        return mConnection == null ? mLostNanos : 0;
    }

    /** Returns whether an outcome has waited for the peer to reconnect for less than a time. */
    boolean owesOutcome(long maxNanos) {
        return mConnection == null && mOutcomeLostNanos < maxNanos && holdsOutcomes();
    }

    /** Records that a call has arrived, and which outcomes the peer has. */
    void callArrived(long id, List<Long> received) {
        mLastCall = Math.max(mLastCall, id);
        received.forEach(call -> mHeld.remove(mId, call));
    }

    /** Returns whether an outcome is held for the peer. */
    boolean holdsOutcomes() {
        return mNamed && mHeld.holds(mId);
    }

    /**
     * Sends an answer, and holds it until the peer has it.
     *
     * @return the bytes sent; 0 if there is no connection
     */
    int sendAnswer(
            long id, HopFrame frame, int rank, Supplier<EndpointLoad> load, long deadlineNanos) {
        hold(id, frame, deadlineNanos);
        return mConnection == null ? 0 : mConnection.sendAnswer(frame, rank, load);
    }

    /** Sends a failure, and holds it until the peer has it. */
    void sendFailure(long id, HopFrame frame, long deadlineNanos) {
        hold(id, frame, deadlineNanos);
        if (mConnection != null) {
            mConnection.send(frame);
        }
    }

    private void hold(long id, HopFrame frame, long deadlineNanos) {
        mOutcomeLostNanos = 0;
        if (mNamed) {
            mHeld.add(mId, id, frame, deadlineNanos);
        }
    }
}
