package org.azurearch.sidecar.internal.hop;

import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
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
import org.azurearch.thrift.WireLoad;
import org.azurearch.time.Backoff;
import org.jspecify.annotations.Nullable;

/**
 * A connection to a peer that is reopened whenever it is lost. It is up once the peer has answered:
 * the kernel of a VM accepts connections for a process that is suspended. Confined to one event
 * loop.
 *
 * <p>Calls outlive the connection over which they were sent. One ends with its outcome, when it is
 * cancelled, or when the peer cannot have an outcome any more: another run of it answers, or
 * nothing listens at its address. Silence alone ends no call.
 */
public final class HopLink implements HopConnection.Listener {
    /** A ping follows a silence of a few times the usual answer time. */
    private static final long PING_AFTER_NANOS = 300_000_000L;

    private static final long IDLE_PING_AFTER_NANOS = 4_000_000_000L;
    private static final long SUSPECT_AFTER_NANOS = 200_000_000L;

    /** A lossy link may need one or two retransmissions. */
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

    /** The same while calls await their outcomes. */
    private static final Duration RECONNECT_MAX_PENDING = Duration.ofMillis(300);

    /** Time for which a link has to be up to be reconnected without a delay. */
    private static final long MIN_UP_NANOS = 500_000_000L;

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
    private final PendingCalls mPending = new PendingCalls();
    private final LinkSession mSession;
    private @Nullable HopConnection mConnection;

    /** An earlier connection that fell silent with calls under way, whose outcomes may arrive. */
    private @Nullable HopConnection mSilent;

    private boolean mPeerEnded;
    private boolean mRefused;
    private boolean mConnecting;
    private @Nullable String mOtherNode;
    private boolean mUp;
    private boolean mClosed;
    private boolean mSuspected;
    private long mAskedNanos = System.nanoTime();
    private SilenceWatch mWatch = new SilenceWatch(LIMITS, System.nanoTime());
    private long mDownSinceNanos = System.nanoTime();
    private long mUpSinceNanos = System.nanoTime();

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
        mSession = new LinkSession(node, mPending);
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

    /** Returns whether the peer's VM refused an attempt to connect, and the link is not up yet. */
    public boolean refused() {
        return mRefused;
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
        mPending.add(call.id(), listener);
        long now = System.nanoTime();
        connection.send(
                HopFrame.call(
                        HopWire.toWire(call, now)
                                .setSentMillis(TimeUnit.NANOSECONDS.toMillis(now))
                                .setSentAtMillis(System.currentTimeMillis())
                                .setReceived(mPending.takeReceived())));
        return new PeerCall(call.id(), true);
    }

    /** Reconnects without waiting for the backoff delay, as the peer is known to be up. */
    public void reconnectNow() {
        if (mConnection == null && !mConnecting) {
            mBackoff.reset();
            connect();
        }
    }

    /** Pings a silent peer and replaces its connection; called a few times a second. */
    public void tick(long nowNanos) {
        if (mPending.isEmpty()) {
            closeSilent();
        }
        HopConnection connection = mConnection;
        if (connection == null) {
            return;
        }
        boolean askedBefore = awaitsReply() && nowNanos - mAskedNanos > PING_AFTER_NANOS;
        boolean awaited = !mUp || !mPending.isEmpty() || askedBefore;
        switch (mWatch.tick(nowNanos, connection.lastReadNanos(), awaited)) {
            case PING -> connection.ping();
            case GIVE_UP -> replace(connection, nowNanos);
            default -> updateSuspected(mWatch.suspected());
        }
    }

    /** Opens another connection; the silent one stays open while outcomes may arrive on it. */
    private void replace(HopConnection connection, long nowNanos) {
        EventLog.log(
                SidecarEvent.HOP_SILENT, mNode, connection.silentMillis(nowNanos), mPending.size());
        if (!mUp || !mSession.resumable() || mPending.isEmpty()) {
            connection.close();
        } else {
            mSilent = connection;
            mConnection = null;
            markDown();
            connect();
        }
        if (mSession.resumable()) {
            mPending.reportSilent();
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
        closeSilent();
        if (mConnection != null) {
            mConnection.close();
        }
        mPending.failAll(mSession.lost());
    }

    private void closeSilent() {
        HopConnection silent = mSilent;
        mSilent = null;
        if (silent != null) {
            silent.close();
        }
    }

    @Override
    public void opened(HopConnection connection) {
        if (mClosed) {
            connection.close();
            return;
        }
        mConnection = connection;
        mWatch = new SilenceWatch(LIMITS, System.nanoTime());
        mSuspected = false;
        mPeerEnded = false;
        send(HopFrame.session(mSession.begin()));
        mListener.connected(this);
    }

    @Override
    public void received(HopConnection connection, HopFrame frame) {
        if (frame.isSetSessionReply()) {
            if (connection == mConnection) {
                mSession.replied(frame.getSessionReply());
            }
            return;
        }
        if (connection == mConnection && !mUp) {
            String other = otherNode(frame);
            if (other != null) {
                if (!other.equals(mOtherNode)) {
                    mOtherNode = other;
                    EventLog.log(SidecarEvent.LINK_TO_OTHER, mNode, mAddress, other);
                }
                mListener.received(connection, frame);
                mSession.peerGone();
                connection.close();
                return;
            }
            mUp = true;
            mRefused = false;
            mUpSinceNanos = System.nanoTime();
            mBackoff.reset();
            mListener.connectionChanged(this, true);
            closeSilent();
            mSession.resume();
            mPending.withdrawn()
                    .forEach(id -> send(HopFrame.withdrawal(new WireHopWithdrawal(id))));
        }
        if (frame.isSetAnswer()) {
            WireHopAnswer answer = frame.getAnswer();
            reportLoad(connection, answer.getLoad());
            mPending.complete(answer.getId(), listener -> deliver(answer, listener));
        } else if (frame.isSetFailure()) {
            WireHopFailure failure = frame.getFailure();
            reportLoad(connection, failure.getLoad());
            mPending.complete(
                    failure.getId(), listener -> listener.failed(HopWire.fromWire(failure)));
        } else {
            mListener.received(connection, frame);
        }
    }

    /** Reports a load unless it arrives late, over a connection that was silent. */
    private void reportLoad(HopConnection connection, WireLoad load) {
        if (connection == mConnection) {
            mListener.loadReported(this, HopWire.fromWire(load));
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
        if (connection == mSilent) {
            mSilent = null;
            if (mPeerEnded) {
                mPending.failAll(mSession.lost());
            }
            return;
        }
        if (connection != mConnection) {
            return;
        }
        mConnection = null;
        boolean wasUp = mUp && System.nanoTime() - mUpSinceNanos > MIN_UP_NANOS;
        markDown();
        if (mClosed || !mSession.resumable()) {
            closeSilent();
            mPending.failAll(mSession.lost());
        }
        if (wasUp && !mPending.isEmpty()) {
            connect();
        } else {
            reconnectLater();
        }
    }

    private void markDown() {
        if (mUp) {
            mUp = false;
            mDownSinceNanos = System.nanoTime();
            mListener.connectionChanged(this, false);
        }
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
                                connectFailed(connected.cause());
                            }
                        });
    }

    /** Ends the calls if nothing listens at the address of the peer, as its process has ended. */
    private void connectFailed(Throwable cause) {
        boolean refused =
                cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
        mRefused = refused;
        if (!refused) {
            mPending.reportSilent();
        } else if (mSilent == null) {
            mPending.failAll(mSession.lost());
        } else {
            mPeerEnded = true;
            mSilent.ping(); // reset by the VM of the peer, unless answers are still being sent
        }
        reconnectLater();
    }

    private void reconnectLater() {
        if (!mClosed) {
            Duration delay = mBackoff.nextDelay();
            if (!mPending.isEmpty() && delay.compareTo(RECONNECT_MAX_PENDING) > 0) {
                delay = RECONNECT_MAX_PENDING;
            }
            mLoop.schedule(this::connect, delay.toMillis(), TimeUnit.MILLISECONDS);
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
            if (mPending.cancel(mId)) {
                sendToAll(HopFrame.cancel(new WireHopCancel(mId)));
            }
            return !mSent;
        }

        @Override
        public void withdraw() {
            if (mPending.withdraw(mId)) {
                sendToAll(HopFrame.withdrawal(new WireHopWithdrawal(mId)));
            }
        }

        /** Sends a frame over the silent connection too, on which the call may have been sent. */
        private void sendToAll(HopFrame frame) {
            send(frame);
            if (mSilent != null) {
                mSilent.send(frame);
            }
        }
    }
}
