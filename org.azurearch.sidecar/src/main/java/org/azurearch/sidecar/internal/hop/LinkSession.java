package org.azurearch.sidecar.internal.hop;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.call.AttemptFailure;
import org.azurearch.thrift.WireHopSession;
import org.azurearch.thrift.WireHopSessionReply;
import org.jspecify.annotations.Nullable;

/**
 * The session of a link, at the end that sends calls: relates those sent over lost connections to
 * what the peer, which has a {@link CallSession}, knows of them. Confined to one event loop.
 */
final class LinkSession {
    /** The run of a peer that knows no sessions, or of none. */
    private static final long NO_RUN = 0;

    private final String mNode;
    private final PendingCalls mPending;
    private final long mId = new SplittableRandom().nextLong();
    private long mConnections;
    private long mPeerRun = NO_RUN;
    private List<Long> mResuming = List.of();
    private @Nullable WireHopSessionReply mReply;

    /**
     * Creates a session.
     *
     * @param node the name of the peer
     * @param pending the calls that await their outcomes
     */
    LinkSession(String node, PendingCalls pending) {
        mNode = node;
        mPending = pending;
    }

    /** Returns the first frame of a new connection. */
    WireHopSession begin() {
        mReply = null;
        mResuming = mPending.ids();
        mPending.takeReceived();
        return new WireHopSession(mId, ++mConnections, mResuming);
    }

    /** Records the reply of whoever answers at the address of the peer. */
    void replied(WireHopSessionReply reply) {
        mReply = reply;
    }

    /** Returns whether calls outlive their connection, as the peer knows sessions. */
    boolean resumable() {
        return mPeerRun != NO_RUN;
    }

    /** Records that the VM of the peer is gone. */
    void peerGone() {
        mPeerRun = NO_RUN;
    }

    /** Ends the calls sent over earlier connections of which no outcome will follow. */
    void resume() {
        WireHopSessionReply reply = mReply;
        List<Long> resuming = mResuming;
        mResuming = List.of();
        boolean sameRun = reply != null && reply.getRun() == mPeerRun;
        mPeerRun = reply == null ? NO_RUN : reply.getRun();
        mPending.heard();
        if (resuming.isEmpty()) {
            return;
        }
        Set<Long> known = Set.of();
        int notReceived = 0;
        if (reply != null && sameRun) {
            known = Set.copyOf(reply.getKnown());
            long lastCall = reply.getLastCall();
            notReceived = mPending.fail(resuming, id -> id > lastCall, notReceived());
        }
        Set<Long> awaited = known;
        int lost = mPending.fail(resuming, id -> !awaited.contains(id), lost());
        EventLog.log(SidecarEvent.CALLS_RESUMED, mNode, sameRun, awaited.size(), notReceived, lost);
    }

    /** Returns the failure of a call whose outcome will not be known. */
    AttemptFailure lost() {
        return AttemptFailure.unknown(ErrorCode.PEER_UNAVAILABLE, "link to " + mNode + " lost");
    }

    private AttemptFailure notReceived() {
        return AttemptFailure.notSent(ErrorCode.PEER_UNAVAILABLE, mNode + " did not receive it");
    }
}
