package org.azurearch.sidecar.internal.hop;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.internal.call.NextPoll;
import org.azurearch.internal.call.RequestMemory;
import org.azurearch.internal.call.RequestMemoryException;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.admit.LinkLoad;
import org.azurearch.sidecar.call.Attempt;
import org.azurearch.sidecar.call.AttemptFailure;
import org.azurearch.sidecar.call.BackendAnswer;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.internal.PauseDetector;
import org.azurearch.sidecar.internal.backend.BackendDispatcher;
import org.azurearch.sidecar.internal.mesh.NodeDirectory;
import org.azurearch.sidecar.route.EndpointLoad;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WireHopCall;
import org.azurearch.thrift.WireHopSession;

/** Accepts calls from peers for the backend server behind this node. Confined to one event loop. */
public final class HopServer implements HopConnection.Listener, AutoCloseable {
    /**
     * Silence of a peer with calls under way before it is pinged. Longer than that after which
     * {@link HopLink} pings at the other end, so that a peer that runs is not pinged from both.
     */
    private static final long PING_AFTER_NANOS = 500_000_000L;

    /** The same without calls under way. */
    private static final long IDLE_PING_AFTER_NANOS = 6_000_000_000L;

    /**
     * Wait for a ping's reply. Longer than it takes a peer that runs to notice the silence at its
     * end and to reconnect.
     */
    private static final long PING_TIMEOUT_NANOS = 1_300_000_000L;

    private static final SilenceWatch.Limits LIMITS =
            new SilenceWatch.Limits(
                    PING_AFTER_NANOS,
                    IDLE_PING_AFTER_NANOS,
                    PING_TIMEOUT_NANOS,
                    PING_TIMEOUT_NANOS);

    /**
     * Delay on its way from which on the cancellation of a call may already be in the socket behind
     * it.
     */
    private static final long LATE_TRANSIT_MILLIS = 200;

    /** Limit of the hosts whose usual transit is known; those seen least recently are dropped. */
    private static final int MAX_HOSTS = 4_096;

    /**
     * Time for a peer to reconnect after its connection was lost, before its waiting calls are
     * failed and its idempotent ones cancelled: the peer may have ended, and it can send them
     * again.
     */
    private static final long RECONNECT_NANOS = 400_000_000L;

    /** Time without a connection, calls and outcomes after which a session is forgotten. */
    private static final long FORGET_NANOS = 10_000_000_000L;

    /** Interval at which outcomes are dropped for which no caller waits any more. */
    private static final long EXPIRE_NANOS = 1_000_000_000L;

    /** Limit of the outcomes held for peers that may have missed them. */
    private static final long MAX_HELD_BYTES = 2 * 1024 * 1024;

    /** A peer that opened a connection. */
    private static final class Peer {
        private final SilenceWatch mWatch = new SilenceWatch(LIMITS, System.nanoTime());
        private CallSession mSession;

        Peer(CallSession session) {
            mSession = session;
        }
    }

    private final EventLoop mLoop;
    private final BackendDispatcher mDispatcher;
    private final PauseDetector mPauses;
    private final RequestMemory mMemory;
    private final NodeDirectory.Listener mFallback;
    private final Counter mCallsCancelled;
    private final Counter mCallsLost;
    private final Map<HopConnection, Peer> mPeers = new HashMap<>();
    private final HeldOutcomes mHeld = new HeldOutcomes(MAX_HELD_BYTES);
    private final Map<Long, CallSession> mSessions = new HashMap<>();
    private long mExpiredNanos = System.nanoTime();
    private long mTickNanos = System.nanoTime();
    private final long mRun = new SplittableRandom().nextLong(1, Long.MAX_VALUE);

    /** By host, as the usual transit outlives a connection that is lost. */
    private final Map<String, TransitDelay> mTransits =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, TransitDelay> eldest) {
                    return size() > MAX_HOSTS;
                }
            };

    /**
     * Creates a server.
     *
     * @param loop the event loop of the node
     * @param dispatcher sends calls to the backend server behind this node
     * @param pauses detects pauses of this process
     * @param memory bounds the memory of requests
     * @param fallback receives frames that do not belong to calls
     * @param metrics where metrics are registered
     */
    public HopServer(
            EventLoop loop,
            BackendDispatcher dispatcher,
            PauseDetector pauses,
            RequestMemory memory,
            NodeDirectory.Listener fallback,
            MetricRegistry metrics) {
        mLoop = loop;
        mDispatcher = dispatcher;
        mPauses = pauses;
        mMemory = memory;
        mFallback = fallback;
        mCallsCancelled = metrics.counter("peers.calls-cancelled");
        mCallsLost = metrics.counter("peers.calls-lost");
        metrics.gauge("peers.held-outcome-bytes", () -> (Gauge<Long>) mHeld::bytes);
    }

    @Override
    public void opened(HopConnection connection) {
        mPeers.put(connection, new Peer(CallSession.ofConnection(mHeld, connection)));
    }

    @Override
    public void received(HopConnection connection, HopFrame frame) {
        Peer peer = mPeers.get(connection);
        if (peer == null) {
            return; // replaced by a newer connection of the peer
        }
        CallSession session = peer.mSession;
        if (frame.isSetSession()) {
            join(connection, peer, frame.getSession());
        } else if (frame.isSetCall()) {
            begin(connection, session, frame.getCall());
        } else if (frame.isSetCancel()) {
            CallSession.Call call = session.calls().remove(frame.getCancel().getId());
            if (call != null) {
                mCallsCancelled.inc();
                call.cancel();
            }
        } else if (frame.isSetWithdrawal()) {
            CallSession.Call call = session.calls().get(frame.getWithdrawal().getId());
            if (call != null) {
                call.attempt().withdraw();
            }
        } else {
            mFallback.received(connection, frame);
        }
    }

    /** Moves a session to a connection, unless the peer has opened a newer one. */
    private void join(HopConnection connection, Peer peer, WireHopSession wire) {
        CallSession session =
                mSessions.computeIfAbsent(wire.getSession(), id -> CallSession.named(mHeld, wire));
        HopConnection earlier = session.connection();
        if (!session.accepts(wire)) {
            connection.close();
            return;
        }
        peer.mSession = session;
        session.resume(connection, wire, mRun, load());
        if (earlier != null) {
            mPeers.remove(earlier);
            earlier.close();
        }
    }

    /**
     * Cancels the calls of a closed connection if their outcomes can no longer be sent. Those of a
     * session go on, as its peer may reconnect.
     */
    @Override
    public void closed(HopConnection connection) {
        Peer peer = mPeers.remove(connection);
        if (peer == null) {
            return;
        }
        CallSession session = peer.mSession;
        if (session.named()) {
            session.connectionLost();
        } else if (!session.calls().isEmpty()) {
            long silentMillis = connection.silentMillis(System.nanoTime());
            recordLost(connection.peer(), session.calls().size(), silentMillis);
            List.copyOf(session.calls().values()).forEach(CallSession.Call::cancel);
        }
    }

    private void recordLost(String peer, int calls, long silentMillis) {
        mCallsLost.inc(calls);
        EventLog.log(SidecarEvent.PEER_CALLS_LOST, peer, calls, silentMillis);
    }

    /**
     * Pings peers that are silent and gives up those that do not reply; called a few times a
     * second.
     */
    public void tick(long nowNanos) {
        for (Map.Entry<HopConnection, Peer> entry : List.copyOf(mPeers.entrySet())) {
            HopConnection connection = entry.getKey();
            Peer peer = entry.getValue();
            boolean awaited = !peer.mSession.calls().isEmpty();
            switch (peer.mWatch.tick(nowNanos, connection.lastReadNanos(), awaited)) {
                case PING -> connection.ping();
                case GIVE_UP -> giveUp(connection, peer.mSession);
                default -> {}
            }
        }
        if (nowNanos - mExpiredNanos >= EXPIRE_NANOS) {
            mExpiredNanos = nowNanos;
            mHeld.expire(nowNanos);
        }
        long passed = Math.min(nowNanos - mTickNanos, SilenceWatch.MAX_TICK_NANOS);
        mTickNanos = nowNanos;
        for (CallSession session : List.copyOf(mSessions.values())) {
            session.passed(passed);
            sweep(session);
        }
    }

    private void sweep(CallSession session) {
        long lostNanos = session.lostNanos();
        if (lostNanos > RECONNECT_NANOS && !session.calls().isEmpty()) {
            long lostMillis = TimeUnit.NANOSECONDS.toMillis(lostNanos);
            endRepeatable(session, "without a connection", lostMillis, () -> {});
        }
        if (lostNanos > FORGET_NANOS && session.calls().isEmpty() && !session.holdsOutcomes()) {
            mSessions.values().remove(session);
        }
    }

    /**
     * Ends the calls of a silent peer and closes its connection. A non-idempotent call that was
     * sent to the backend server goes on until its deadline, and the connection stays open for its
     * answer: the peer may only be suspended, and nobody may repeat the call.
     */
    private void giveUp(HopConnection connection, CallSession session) {
        long silentMillis = connection.silentMillis(System.nanoTime());
        endRepeatable(
                session,
                connection.peer(),
                silentMillis,
                () -> {
                    if (session.calls().isEmpty()) {
                        EventLog.log(SidecarEvent.HOP_SILENT, connection.peer(), silentMillis, 0);
                        connection.close();
                    }
                });
    }

    /**
     * Fails the calls that wait, and cancels the idempotent ones once those have failed, unless the
     * peer reconnects before.
     */
    private void endRepeatable(
            CallSession session, String peer, long silentMillis, Runnable ended) {
        HopConnection connection = session.connection();
        session.withdrawCalls();
        mLoop.execute(
                () -> {
                    if (session.connection() == connection) {
                        abandonIdempotent(session, peer, silentMillis);
                        ended.run();
                    }
                });
    }

    private void abandonIdempotent(CallSession session, String peer, long silentMillis) {
        List<Long> idempotent = session.idempotentCalls();
        if (!idempotent.isEmpty()) {
            recordLost(peer, idempotent.size(), silentMillis);
            idempotent.forEach(id -> abandon(session, id));
        }
    }

    private void abandon(CallSession session, long id) {
        CallSession.Call call = session.calls().remove(id);
        if (call != null) {
            String reason = "this node was silent";
            AttemptFailure failure =
                    call.cancel()
                            ? AttemptFailure.notSent(ErrorCode.PEER_UNAVAILABLE, reason)
                            : AttemptFailure.unknown(ErrorCode.PEER_UNAVAILABLE, reason);
            session.sendFailure(
                    id,
                    HopFrame.failure(HopWire.toWire(id, failure, load())),
                    call.deadlineNanos());
        }
    }

    /**
     * Returns whether an outcome is held for a peer that has no connection and may reconnect for
     * it.
     */
    public boolean awaitsPeers() {
        return mSessions.values().stream()
                .anyMatch(session -> session.owesOutcome(RECONNECT_NANOS));
    }

    /** Returns the bytes of frames to peers, mostly answers, that were not sent yet. */
    public long unsentBytes() {
        return mPeers.keySet().stream().mapToLong(HopConnection::unsentBytes).sum();
    }

    /** Closes all connections that peers opened, once the peers have read what was sent. */
    public void closeAfterSending() {
        List.copyOf(mPeers.keySet()).forEach(HopConnection::closeAfterSending);
    }

    /** Returns whether no connection of a peer is open. */
    public boolean closed() {
        return mPeers.isEmpty();
    }

    /** Closes all connections that peers opened. */
    @Override
    public void close() {
        List.copyOf(mPeers.keySet()).forEach(HopConnection::close);
    }

    private void begin(HopConnection connection, CallSession session, WireHopCall wire) {
        session.callArrived(wire.getId(), wire.isSetReceived() ? wire.getReceived() : List.of());
        long now = System.nanoTime();
        long wallMillis = System.currentTimeMillis();
        long transitMillis = transitMillis(connection, wire, now, wallMillis);
        // A pause of this process shows in both, unless the steady clock stood still meanwhile.
        long delayNanos =
                Math.max(
                        TimeUnit.MILLISECONDS.toNanos(transitMillis),
                        mPauses.delayNanos(now, wallMillis));
        HopCall call = HopWire.fromWire(wire, now - delayNanos);
        RequestMemory.Lease memory = mMemory.lease();
        if (!memory.tryAdd(bytes(call))) {
            AttemptFailure refused = outOfMemory(memory);
            session.sendFailure(
                    call.id(),
                    HopFrame.failure(HopWire.toWire(call.id(), refused, load())),
                    call.deadlineNanos());
        } else if (mPauses.late(now, wallMillis) || transitMillis >= LATE_TRANSIT_MILLIS) {
            LateCall late = new LateCall(session, call, memory);
            session.add(call, late, memory);
            NextPoll.runAfter(mLoop, late::submit);
        } else {
            submit(session, call, memory);
        }
    }

    /** Returns the memory of a call without its body. */
    private static long bytes(HopCall call) {
        List<String> headers = call.headers();
        long bytes = RequestMemory.lineBytes(call.method(), call.target());
        for (int i = 0; i + 1 < headers.size(); i += 2) {
            bytes += RequestMemory.lineBytes(headers.get(i), headers.get(i + 1));
        }
        return bytes;
    }

    private static AttemptFailure outOfMemory(RequestMemory.Lease memory) {
        String reason = String.valueOf(memory.refusal().getMessage());
        return AttemptFailure.refused(RequestMemoryException.RETRY_MILLIS, reason);
    }

    /** Returns how much longer than usual a call was under way, in milliseconds. */
    private long transitMillis(
            HopConnection connection, WireHopCall wire, long nowNanos, long wallMillis) {
        if (!wire.isSetSentMillis() || !wire.isSetSentAtMillis()) {
            return 0;
        }
        long nowMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos);
        return mTransits
                .computeIfAbsent(connection.peerHost(), host -> new TransitDelay(nowMillis))
                .observe(wire.getSentMillis(), wire.getSentAtMillis(), nowMillis, wallMillis);
    }

    private void submit(CallSession session, HopCall call, RequestMemory.Lease memory) {
        OutcomeSender sender = new OutcomeSender(session, call, memory);
        Attempt attempt = mDispatcher.submitForPeer(call, sender);
        if (!sender.mDone) {
            session.add(call, attempt, memory);
        }
    }

    /** A call whose cancellation may already be in the socket; submitted once that is read. */
    private final class LateCall implements Attempt {
        private final CallSession mSession;
        private final HopCall mCall;
        private final RequestMemory.Lease mMemory;
        private boolean mCancelled;
        private boolean mWithdrawn;

        LateCall(CallSession session, HopCall call, RequestMemory.Lease memory) {
            mSession = session;
            mCall = call;
            mMemory = memory;
        }

        @Override
        public boolean cancel() {
            mCancelled = true;
            return true;
        }

        @Override
        public void withdraw() {
            mWithdrawn = true;
        }

        void submit() {
            if (mCancelled) {
                return;
            }
            mSession.calls().remove(mCall.id());
            if (mWithdrawn) {
                new OutcomeSender(mSession, mCall, mMemory).failed(AttemptFailure.stopping());
            } else {
                HopServer.this.submit(mSession, mCall, mMemory);
            }
        }
    }

    /** Returns the load of the backend server with that of the link, which answers to peers use. */
    private EndpointLoad load() {
        EndpointLoad load = mDispatcher.load();
        LinkLoad link = mDispatcher.link();
        return link.limited()
                ? load.withLink(link.waitMillis(load.workMillis(), System.nanoTime()), link.mbps())
                : load;
    }

    /** Sends the outcome of a call over the connection that carries its session then. */
    private final class OutcomeSender implements Attempt.Listener {
        private final CallSession mSession;
        private final HopCall mCall;
        private final RequestMemory.Lease mMemory;
        private boolean mDone;

        OutcomeSender(CallSession session, HopCall call, RequestMemory.Lease memory) {
            mSession = session;
            mMemory = memory;
            mCall = call;
        }

        @Override
        public void answered(BackendAnswer answer) {
            end();
            HopFrame frame = HopFrame.answer(HopWire.toWire(mCall.id(), answer, load()));
            int bytes =
                    mSession.sendAnswer(
                            mCall.id(),
                            frame,
                            mCall.rank(),
                            HopServer.this::load,
                            mCall.deadlineNanos());
            mDispatcher.link().sent(mCall.route(), mCall.rank(), bytes, System.nanoTime());
        }

        @Override
        public void failed(AttemptFailure failure) {
            end();
            mSession.sendFailure(
                    mCall.id(),
                    HopFrame.failure(HopWire.toWire(mCall.id(), failure, load())),
                    mCall.deadlineNanos());
        }

        private void end() {
            mDone = true;
            mMemory.release();
            mSession.calls().remove(mCall.id());
        }
    }
}
