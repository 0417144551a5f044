package org.azurearch.sidecar.internal.hop;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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

/** Accepts calls from peers for the backend server behind this node. Confined to one event loop. */
public final class HopServer implements HopConnection.Listener, AutoCloseable {
    /**
     * Silence of a peer with calls under way before it is pinged. Longer than that after which
     * {@link HopLink} pings at the other end, so that a peer that runs is not pinged from both.
     */
    private static final long PING_AFTER_NANOS = 500_000_000L;

    /** The same without calls under way. */
    private static final long IDLE_PING_AFTER_NANOS = 6_000_000_000L;

    /** Wait for a ping's reply; a lossy link may need one or two retransmissions. */
    private static final long PING_TIMEOUT_NANOS = 700_000_000L;

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

    /** A call under way. */
    private record Call(Attempt attempt, boolean idempotent, RequestMemory.Lease memory) {
        void cancel() {
            memory.release();
            attempt.cancel();
        }
    }

    /** A peer that opened a connection. */
    private static final class Peer {
        private final Map<Long, Call> mCalls = new HashMap<>();
        private final SilenceWatch mWatch = new SilenceWatch(LIMITS, System.nanoTime());
    }

    private final EventLoop mLoop;
    private final BackendDispatcher mDispatcher;
    private final PauseDetector mPauses;
    private final RequestMemory mMemory;
    private final NodeDirectory.Listener mFallback;
    private final Counter mCallsCancelled;
    private final Counter mCallsLost;
    private final Map<HopConnection, Peer> mPeers = new HashMap<>();

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
    }

    @Override
    public void opened(HopConnection connection) {
        mPeers.put(connection, new Peer());
    }

    @Override
    public void received(HopConnection connection, HopFrame frame) {
        if (frame.isSetCall()) {
            begin(connection, frame.getCall());
        } else if (frame.isSetCancel()) {
            Call call = calls(connection).remove(frame.getCancel().getId());
            if (call != null) {
                mCallsCancelled.inc();
                call.cancel();
            }
        } else if (frame.isSetWithdrawal()) {
            Call call = calls(connection).get(frame.getWithdrawal().getId());
            if (call != null) {
                call.attempt().withdraw();
            }
        } else {
            mFallback.received(connection, frame);
        }
    }

    /** Cancels the calls of a closed connection, as their outcomes can no longer be sent. */
    @Override
    public void closed(HopConnection connection) {
        Peer peer = mPeers.remove(connection);
        if (peer != null && !peer.mCalls.isEmpty()) {
            recordLost(connection, peer.mCalls.size());
            List.copyOf(peer.mCalls.values()).forEach(Call::cancel);
        }
    }

    private void recordLost(HopConnection connection, int calls) {
        mCallsLost.inc(calls);
        EventLog.log(
                SidecarEvent.PEER_CALLS_LOST,
                connection.peer(),
                calls,
                connection.silentMillis(System.nanoTime()));
    }

    /**
     * Pings peers that are silent and gives up those that do not reply; called a few times a
     * second.
     */
    public void tick(long nowNanos) {
        for (Map.Entry<HopConnection, Peer> entry : List.copyOf(mPeers.entrySet())) {
            HopConnection connection = entry.getKey();
            Peer peer = entry.getValue();
            boolean awaited = !peer.mCalls.isEmpty();
            switch (peer.mWatch.tick(nowNanos, connection.lastReadNanos(), awaited)) {
                case PING -> connection.ping();
                case GIVE_UP -> giveUp(connection, peer);
                default -> {}
            }
        }
    }

    /**
     * Ends the calls of a silent peer and closes its connection. A non-idempotent call that was
     * sent to the backend server goes on until its deadline, and the connection stays open for its
     * answer: the peer may only be suspended, and nobody may repeat the call.
     */
    private void giveUp(HopConnection connection, Peer peer) {
        List<Long> idempotent = new ArrayList<>();
        peer.mCalls.forEach(
                (id, call) -> {
                    if (call.idempotent()) {
                        idempotent.add(id);
                    } else {
                        call.attempt().withdraw();
                    }
                });
        if (idempotent.size() == peer.mCalls.size()) {
            long silentMillis = connection.silentMillis(System.nanoTime());
            EventLog.log(SidecarEvent.HOP_SILENT, connection.peer(), silentMillis);
            connection.close();
        } else if (!idempotent.isEmpty()) {
            recordLost(connection, idempotent.size());
            idempotent.forEach(id -> abandon(connection, peer, id));
        }
    }

    private void abandon(HopConnection connection, Peer peer, long id) {
        Call call = peer.mCalls.remove(id);
        if (call != null) {
            call.cancel();
            AttemptFailure failure =
                    AttemptFailure.unknown(ErrorCode.PEER_UNAVAILABLE, "this node was silent");
            connection.send(HopFrame.failure(HopWire.toWire(id, failure, load())));
        }
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

    private void begin(HopConnection connection, WireHopCall wire) {
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
            connection.send(HopFrame.failure(HopWire.toWire(call.id(), refused, load())));
        } else if (mPauses.late(now, wallMillis) || transitMillis >= LATE_TRANSIT_MILLIS) {
            LateCall late = new LateCall(connection, call, memory);
            calls(connection).put(call.id(), new Call(late, call.idempotent(), memory));
            NextPoll.runAfter(mLoop, late::submit);
        } else {
            submit(connection, call, memory);
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

    private void submit(HopConnection connection, HopCall call, RequestMemory.Lease memory) {
        OutcomeSender sender = new OutcomeSender(connection, call, memory);
        Attempt attempt = mDispatcher.submitForPeer(call, sender);
        if (!sender.mDone) {
            calls(connection).put(call.id(), new Call(attempt, call.idempotent(), memory));
        }
    }

    /** A call whose cancellation may already be in the socket; submitted once that is read. */
    private final class LateCall implements Attempt {
        private final HopConnection mConnection;
        private final HopCall mCall;
        private final RequestMemory.Lease mMemory;
        private boolean mCancelled;
        private boolean mWithdrawn;

        LateCall(HopConnection connection, HopCall call, RequestMemory.Lease memory) {
            mConnection = connection;
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
            if (!mCancelled) {
                calls(mConnection).remove(mCall.id());
                HopServer.this.submit(mConnection, mCall, mMemory);
                Call submitted = calls(mConnection).get(mCall.id());
                if (mWithdrawn && submitted != null) {
                    submitted.attempt().withdraw();
                }
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

    /** Returns the calls under way of a connection; none if it has closed. */
    private Map<Long, Call> calls(HopConnection connection) {
        Peer peer = mPeers.get(connection);
        return peer == null ? new HashMap<>() : peer.mCalls;
    }

    /** Sends the outcome of a call over the connection on which it arrived. */
    private final class OutcomeSender implements Attempt.Listener {
        private final HopConnection mConnection;
        private final long mId;
        private final String mRoute;
        private final int mRank;
        private final RequestMemory.Lease mMemory;
        private boolean mDone;

        OutcomeSender(HopConnection connection, HopCall call, RequestMemory.Lease memory) {
            mConnection = connection;
            mMemory = memory;
            mId = call.id();
            mRoute = call.route();
            mRank = call.rank();
        }

        @Override
        public void answered(BackendAnswer answer) {
            end();
            HopFrame frame = HopFrame.answer(HopWire.toWire(mId, answer, load()));
            int bytes = mConnection.sendAnswer(frame, mRank, HopServer.this::load);
            mDispatcher.link().sent(mRoute, mRank, bytes, System.nanoTime());
        }

        @Override
        public void failed(AttemptFailure failure) {
            end();
            mConnection.send(HopFrame.failure(HopWire.toWire(mId, failure, load())));
        }

        private void end() {
            mDone = true;
            mMemory.release();
            calls(mConnection).remove(mId);
        }
    }
}
