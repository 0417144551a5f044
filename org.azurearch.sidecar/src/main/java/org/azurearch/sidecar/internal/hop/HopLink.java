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
import org.azurearch.thrift.WireHopPing;
import org.azurearch.time.Backoff;
import org.jspecify.annotations.Nullable;

/**
 * The connection that this node keeps to another one, opened again whenever it is lost. Confined to
 * one event loop.
 */
public final class HopLink implements HopConnection.Listener {
    /** With calls under way, silence of this length is looked into: a few times a usual answer. */
    private static final long PROBE_AFTER_NANOS = 300_000_000L;

    /**
     * Without calls, a connection is looked into this often, so that a dead one is not met later.
     */
    private static final long IDLE_PROBE_AFTER_NANOS = 4_000_000_000L;

    /** A probe is answered within a round trip; after this time no new calls are sent there. */
    private static final long SUSPECT_AFTER_NANOS = 200_000_000L;

    /**
     * Over a lossy link, a probe may take one or two resends. Calls that run there are given up
     * only after this time, since what is not idempotent is lost then.
     */
    private static final long PROBE_TIMEOUT_NANOS = 900_000_000L;

    /** A node that is not there is tried again no more often than each two seconds or so. */
    private static final Duration RECONNECT_MAX = Duration.ofMillis(2_000);

    private static final Duration RECONNECT_BASE = Duration.ofMillis(100);

    /** Takes what concerns the node at the other end. */
    public interface Owner {
        /** The link is up or down. */
        void connected(HopLink link, boolean up);

        /** The other end answers, or has been silent for a while. */
        void usable(HopLink link, boolean usable);

        /** A frame has arrived that is not the outcome of a call. */
        void received(HopConnection connection, HopFrame frame);

        /** The load at the other end was reported. */
        void load(HopLink link, EndpointLoad load);
    }

    private final HopNetwork mNetwork;
    private final EventLoop mLoop;
    private final String mNode;
    private final NetAddress mAddress;
    private final Owner mOwner;
    private final Backoff mBackoff;
    private final Map<Long, Attempt.Sink> mPending = new HashMap<>();
    private @Nullable HopConnection mConnection;
    private boolean mConnecting;
    private boolean mClosed;
    private boolean mSuspected;
    private long mProbedNanos;
    private long mDownSinceNanos = System.nanoTime();

    /**
     * Creates a link and begins to connect it.
     *
     * @param network opens connections
     * @param loop the event loop
     * @param node the name of the other node
     * @param address where it listens
     * @param owner takes what concerns the other node
     */
    public HopLink(
            HopNetwork network, EventLoop loop, String node, NetAddress address, Owner owner) {
        mNetwork = network;
        mLoop = loop;
        mNode = node;
        mAddress = address;
        mOwner = owner;
        mBackoff = new Backoff(RECONNECT_BASE, RECONNECT_MAX, new SplittableRandom());
        connect();
    }

    /** Returns the name of the other node. */
    public String node() {
        return mNode;
    }

    /** Returns the address of the other node. */
    public NetAddress address() {
        return mAddress;
    }

    /** Says whether the link is up. */
    public boolean up() {
        return mConnection != null;
    }

    /** Returns for how long the link has been down; 0 when it is up. */
    public long downNanos(long nowNanos) {
        return mConnection != null ? 0 : nowNanos - mDownSinceNanos;
    }

    /** Sends a frame if the link is up. */
    public void send(HopFrame frame) {
        if (mConnection != null) {
            mConnection.send(frame);
        }
    }

    /** Sends a call. */
    public Attempt call(HopCall call, Attempt.Sink sink) {
        HopConnection connection = mConnection;
        if (connection == null) {
            sink.failed(AttemptFailure.notSent(ErrorCode.PEER_UNAVAILABLE, "no link to " + mNode));
            return () -> {};
        }
        mPending.put(call.id(), sink);
        connection.send(HopFrame.call(HopWire.toWire(call, System.nanoTime())));
        return () -> cancel(call.id());
    }

    /** Connects at once rather than after the pause, as the other node has shown itself. */
    public void nudge() {
        if (mConnection == null && !mConnecting) {
            mBackoff.reset();
            connect();
        }
    }

    /** Looks for silence; called a few times a second. */
    public void tick(long nowNanos) {
        HopConnection connection = mConnection;
        if (connection == null) {
            return;
        }
        long silent = nowNanos - connection.lastReadNanos();
        long allowed = mPending.isEmpty() ? IDLE_PROBE_AFTER_NANOS : PROBE_AFTER_NANOS;
        if (silent < allowed) {
            mProbedNanos = 0;
            suspect(false);
        } else if (mProbedNanos == 0) {
            mProbedNanos = nowNanos;
            connection.send(HopFrame.ping(new WireHopPing(false)));
        } else if (nowNanos - mProbedNanos > PROBE_TIMEOUT_NANOS) {
            EventLog.log(SidecarEvent.HOP_SILENT, mNode, TimeUnit.NANOSECONDS.toMillis(silent));
            connection.close();
        } else if (nowNanos - mProbedNanos > SUSPECT_AFTER_NANOS) {
            suspect(true);
        }
    }

    private void suspect(boolean suspected) {
        if (mSuspected != suspected) {
            mSuspected = suspected;
            mOwner.usable(this, !suspected);
        }
    }

    /** Closes the link for good. */
    public void close() {
        mClosed = true;
        if (mConnection != null) {
            mConnection.close();
        }
    }

    @Override
    public void opened(HopConnection connection) {
        mConnection = connection;
        mProbedNanos = 0;
        mSuspected = false;
        mBackoff.reset();
        mOwner.connected(this, true);
    }

    @Override
    public void received(HopConnection connection, HopFrame frame) {
        if (frame.isSetAnswer()) {
            WireHopAnswer answer = frame.getAnswer();
            mOwner.load(this, HopWire.fromWire(answer.getLoad()));
            finish(answer.getId(), sink -> sink.answered(HopWire.fromWire(answer)));
        } else if (frame.isSetFailure()) {
            WireHopFailure failure = frame.getFailure();
            mOwner.load(this, HopWire.fromWire(failure.getLoad()));
            finish(failure.getId(), sink -> sink.failed(HopWire.fromWire(failure)));
        } else {
            mOwner.received(connection, frame);
        }
    }

    @Override
    public void closed(HopConnection connection) {
        if (connection != mConnection) {
            return;
        }
        mConnection = null;
        mDownSinceNanos = System.nanoTime();
        mOwner.connected(this, false);
        List<Attempt.Sink> lost = new ArrayList<>(mPending.values());
        mPending.clear();
        AttemptFailure failure =
                AttemptFailure.unknown(ErrorCode.PEER_UNAVAILABLE, "link to " + mNode + " lost");
        lost.forEach(sink -> sink.failed(failure));
        reconnectLater();
    }

    private void cancel(long id) {
        if (mPending.remove(id) != null) {
            send(HopFrame.cancel(new WireHopCancel(id)));
        }
    }

    private void finish(long id, Consumer<Attempt.Sink> outcome) {
        Attempt.Sink sink = mPending.remove(id);
        if (sink != null) {
            outcome.accept(sink);
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
}
