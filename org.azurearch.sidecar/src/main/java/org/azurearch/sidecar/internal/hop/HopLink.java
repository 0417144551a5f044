package org.azurearch.sidecar.internal.hop;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.internal.call.AnswerRules;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.call.Attempt;
import org.azurearch.sidecar.call.AttemptFailure;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.route.EndpointLoad;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WireHopAnswer;
import org.azurearch.thrift.WireHopCancel;
import org.azurearch.thrift.WireHopFailure;
import org.azurearch.thrift.WireHopWithdrawal;
import org.azurearch.time.Backoff;
import org.jspecify.annotations.Nullable;

/**
 * A connection to a peer that is reopened whenever it is lost. It is up once the peer has answered:
 * the kernel of a VM accepts connections for a process that is suspended. Confined to one event
 * loop.
 */
public final class HopLink implements HopConnection.Listener {
    /** A ping follows a silence of a few times the usual answer time. */
    private static final long PING_AFTER_NANOS = 300_000_000L;

    private static final long IDLE_PING_AFTER_NANOS = 4_000_000_000L;
    private static final long SUSPECT_AFTER_NANOS = 200_000_000L;

    /**
     * A lossy link may need one or two retransmissions, and closing fails the pending calls:
     * non-idempotent ones cannot be retried.
     */
    private static final long PING_TIMEOUT_NANOS = 900_000_000L;

    private static final SilenceWatch.Limits LIMITS =
            new SilenceWatch.Limits(
                    PING_AFTER_NANOS,
                    IDLE_PING_AFTER_NANOS,
                    SUSPECT_AFTER_NANOS,
                    PING_TIMEOUT_NANOS);

    /** Longest delay between connection attempts to an unreachable peer. */
    private static final Duration RECONNECT_MAX = Duration.ofMillis(2_000);

    private static final Duration RECONNECT_BASE = Duration.ofMillis(100);

    /** Receives events of the peer. */
    public interface Listener {
        /** Called when a connection is open, to send the first frame, which the peer answers. */
        void connected(HopLink link);

        /** Called when the link goes up or down. */
        void connectionChanged(HopLink link, boolean up);

        /** Called when the peer becomes suspected of having failed, or answers again. */
        void usabilityChanged(HopLink link, boolean usable);

        /** Called for a frame that is not the outcome of a call. */
        void received(HopConnection connection, HopFrame frame);

        /** Called with the load that the peer reported. */
        void loadReported(HopLink link, EndpointLoad load);
    }

    /**
     * Bytes of frames that wait to be sent beyond which no further call is added, as a peer that
     * reads nothing is noticed only after some time. One call may be larger.
     */
    private static final long MAX_UNSENT_BYTES = 4 * 1024 * 1024;

    private final HopNetwork mNetwork;
    private final EventLoop mLoop;
    private final String mNode;
    private final boolean mNamed;
    private final NetAddress mAddress;
    private final Listener mListener;
    private final Backoff mBackoff;
    private final Map<Long, Attempt.Listener> mPending = new HashMap<>();
    private @Nullable HopConnection mConnection;
    private boolean mConnecting;
    private @Nullable String mOtherNode;
    private boolean mUp;
    private boolean mClosed;
    private boolean mSuspected;
    private long mAskedNanos = System.nanoTime();
    private SilenceWatch mWatch = new SilenceWatch(LIMITS, System.nanoTime());
    private long mDownSinceNanos = System.nanoTime();

    /**
     * Creates a link and starts connecting.
     *
     * @param network opens connections
     * @param loop the event loop
     * @param node the name of the peer, or of the link if only its address is known
     * @param named whether the name is that of the peer, so that no other node is accepted
     * @param address the address of the peer
     * @param listener receives events of the peer
     */
    public HopLink(
            HopNetwork network,
            EventLoop loop,
            String node,
            boolean named,
            NetAddress address,
            Listener listener) {
        mNetwork = network;
        mLoop = loop;
        mNode = node;
        mNamed = named;
        mAddress = address;
        mListener = listener;
        mBackoff = new Backoff(RECONNECT_BASE, RECONNECT_MAX, new SplittableRandom());
        connect();
    }

    /** Returns the name of the peer. */
    public String node() {
        return mNode;
    }

    /** Returns the address of the peer. */
    public NetAddress address() {
        return mAddress;
    }

    /** Returns whether the link is up. */
    public boolean up() {
        return mUp;
    }

    /** Returns whether calls await their outcome. */
    public boolean busy() {
        return !mPending.isEmpty();
    }

    /** Returns how long the link has been down, or 0 if it is up. */
    public long downNanos(long nowNanos) {
        return mUp ? 0 : nowNanos - mDownSinceNanos;
    }

    /** Sends a frame if a connection is open. */
    public void send(HopFrame frame) {
        if (mConnection != null) {
            mConnection.send(frame);
        }
    }

    /** Sends a frame that the peer answers at once, so that its silence is noticed. */
    public void ask(HopFrame frame) {
        if (!awaitsReply()) {
            mAskedNanos = System.nanoTime();
        }
        send(frame);
    }

    /** Returns whether nothing has arrived since the peer was asked. */
    private boolean awaitsReply() {
        return mConnection != null && mAskedNanos - mConnection.lastReadNanos() > 0;
    }

    /**
     * Sends a call, which fails at once if the link is down.
     *
     * @return a handle that cancels the call
     */
    public Attempt call(HopCall call, Attempt.Listener listener) {
        HopConnection connection = mConnection;
        if (connection == null || !mUp) {
            listener.failed(
                    AttemptFailure.notSent(ErrorCode.PEER_UNAVAILABLE, "no link to " + mNode));
            return new PeerCall(call.id(), false);
        }
        if (connection.unsentBytes() > MAX_UNSENT_BYTES) {
            listener.failed(
                    AttemptFailure.notSent(
                            ErrorCode.PEER_UNAVAILABLE, "the link to " + mNode + " is full"));
            return new PeerCall(call.id(), false);
        }
        mPending.put(call.id(), listener);
        long now = System.nanoTime();
        connection.send(
                HopFrame.call(
                        HopWire.toWire(call, now)
                                .setSentMillis(TimeUnit.NANOSECONDS.toMillis(now))
                                .setSentAtMillis(System.currentTimeMillis())));
        return new PeerCall(call.id(), true);
    }

    /** Reconnects without waiting for the backoff delay, as the peer is known to be up. */
    public void reconnectNow() {
        if (mConnection == null && !mConnecting) {
            mBackoff.reset();
            connect();
        }
    }

    /** Pings a silent peer and closes a dead connection; called a few times a second. */
    public void tick(long nowNanos) {
        HopConnection connection = mConnection;
        if (connection == null) {
            return;
        }
        boolean askedBefore = awaitsReply() && nowNanos - mAskedNanos > PING_AFTER_NANOS;
        boolean awaited = !mUp || !mPending.isEmpty() || askedBefore;
        switch (mWatch.tick(nowNanos, connection.lastReadNanos(), awaited)) {
            case PING -> connection.ping();
            case GIVE_UP -> {
                EventLog.log(SidecarEvent.HOP_SILENT, mNode, connection.silentMillis(nowNanos));
                connection.close();
            }
            default -> updateSuspected(mWatch.suspected());
        }
    }

    private void updateSuspected(boolean suspected) {
        if (mUp && mSuspected != suspected) {
            mSuspected = suspected;
            mListener.usabilityChanged(this, !suspected);
        }
    }

    /** Closes the link permanently. */
    public void close() {
        mClosed = true;
        if (mConnection != null) {
            mConnection.close();
        }
    }

    @Override
    public void opened(HopConnection connection) {
        mConnection = connection;
        mWatch = new SilenceWatch(LIMITS, System.nanoTime());
        mSuspected = false;
        mListener.connected(this);
    }

    @Override
    public void received(HopConnection connection, HopFrame frame) {
        if (!mUp) {
            String other = otherNode(frame);
            if (other != null) {
                if (!other.equals(mOtherNode)) {
                    mOtherNode = other;
                    EventLog.log(SidecarEvent.LINK_TO_OTHER, mNode, mAddress, other);
                }
                mListener.received(connection, frame);
                connection.close();
                return;
            }
            mUp = true;
            mBackoff.reset();
            mListener.connectionChanged(this, true);
        }
        if (frame.isSetAnswer()) {
            WireHopAnswer answer = frame.getAnswer();
            mListener.loadReported(this, HopWire.fromWire(answer.getLoad()));
            complete(answer.getId(), listener -> deliver(answer, listener));
        } else if (frame.isSetFailure()) {
            WireHopFailure failure = frame.getFailure();
            mListener.loadReported(this, HopWire.fromWire(failure.getLoad()));
            complete(failure.getId(), listener -> listener.failed(HopWire.fromWire(failure)));
        } else {
            mListener.received(connection, frame);
        }
    }

    /**
     * Returns the name of the node that answers a hello, with its own record first, if it is not
     * the peer: the address of a VM that is gone may have been given to another one.
     */
    private @Nullable String otherNode(HopFrame frame) {
        if (!mNamed || !frame.isSetRecords() || frame.getRecords().getRecords().isEmpty()) {
            return null;
        }
        String node = frame.getRecords().getRecords().get(0).getNode();
        return mNode.equals(node) ? null : node;
    }

    @Override
    public void closed(HopConnection connection) {
        if (connection != mConnection) {
            return;
        }
        mConnection = null;
        if (mUp) {
            mUp = false;
            mDownSinceNanos = System.nanoTime();
            mListener.connectionChanged(this, false);
        }
        List<Attempt.Listener> lost = new ArrayList<>(mPending.values());
        mPending.clear();
        AttemptFailure failure =
                AttemptFailure.unknown(ErrorCode.PEER_UNAVAILABLE, "link to " + mNode + " lost");
        lost.forEach(listener -> listener.failed(failure));
        reconnectLater();
    }

    /** Gives a call its answer, or ends it if that is none, as a peer may pass on any bytes. */
    private static void deliver(WireHopAnswer answer, Attempt.Listener listener) {
        String problem = AnswerRules.problem(answer.getStatus(), answer.getHeaders());
        if (problem == null) {
            listener.answered(HopWire.fromWire(answer));
        } else {
            listener.failed(AttemptFailure.unknown(ErrorCode.CORRUPT, "no answer: " + problem));
        }
    }

    private void complete(long id, Consumer<Attempt.Listener> outcome) {
        Attempt.Listener listener = mPending.remove(id);
        if (listener != null) {
            outcome.accept(listener);
        }
    }

    private void connect() {
        if (mClosed || mConnecting || mConnection != null) {
            return;
        }
        mConnecting = true;
        mNetwork.connect(mAddress, this)
                .addListener(
                        connected -> {
                            mConnecting = false;
                            if (!connected.isSuccess()) {
                                reconnectLater();
                            }
                        });
    }

    private void reconnectLater() {
        if (!mClosed) {
            mLoop.schedule(this::connect, mBackoff.nextDelay().toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private final class PeerCall implements Attempt {
        private final long mId;
        private final boolean mSent;

        PeerCall(long id, boolean sent) {
            mId = id;
            mSent = sent;
        }

        /** Returns false for a call that was sent, as only the peer knows how far it has got. */
        @Override
        public boolean cancel() {
            if (mPending.remove(mId) != null) {
                send(HopFrame.cancel(new WireHopCancel(mId)));
            }
            return !mSent;
        }

        @Override
        public void withdraw() {
            if (mPending.containsKey(mId)) {
                send(HopFrame.withdrawal(new WireHopWithdrawal(mId)));
            }
        }
    }
}
