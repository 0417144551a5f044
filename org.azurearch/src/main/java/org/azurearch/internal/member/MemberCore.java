package org.azurearch.internal.member;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.azurearch.lib.NetAddress;
import org.azurearch.member.Board;
import org.azurearch.member.Endpoint;
import org.azurearch.member.Member;
import org.azurearch.member.MemberState;

/**
 * The membership protocol as a state machine: handles messages and clock ticks, and returns the
 * effects to execute. It does no I/O and has no thread or clock; not thread-safe.
 */
final class MemberCore {
    private final MeshState mMesh;
    private final FailureDetector mFailureDetector;
    private final Relays mRelays;
    private final Disseminator mDisseminator;
    private final Reconciler mReconciler;

    /**
     * Creates the membership of a node that has no record of a peer yet.
     *
     * @param self the node's own record
     * @param seeds addresses at which peers may be found
     * @param policy periods and limits
     * @param random the source of randomness
     * @param now the current time
     */
    MemberCore(
            Member self,
            List<NetAddress> seeds,
            MemberPolicy policy,
            RandomGenerator random,
            Moment now) {
        mMesh = new MeshState(self, policy, random, now);
        mFailureDetector = new FailureDetector(mMesh, now);
        mRelays = new Relays(mMesh, now);
        mDisseminator = new Disseminator(mMesh, mRelays, now);
        mReconciler = new Reconciler(mMesh, seeds, now);
    }

    /** Returns the state of the membership. */
    MeshState mesh() {
        return mMesh;
    }

    /** Returns whether a peer has answered since the start. */
    boolean joined() {
        return mReconciler.joined();
    }

    /** Adds an address at which a peer may be found. */
    void addSeed(NetAddress seed) {
        mReconciler.addSeed(seed);
    }

    /** Runs what is due at the given time. */
    List<MemberEffect> tick(Moment now) {
        if (mMesh.self().state() == MemberState.LEFT) {
            return flushEffects(now);
        }
        mReconciler.tick(now);
        mFailureDetector.tick(now);
        mRelays.tick(now);
        expire(now);
        return flushEffects(now);
    }

    /** Applies the gossip of a ping and returns the gossip for the reply. */
    Gossip handlePing(Gossip gossip, Moment now) {
        mMesh.apply(gossip, true, now);
        return mMesh.nextPiggyback();
    }

    /** Handles the reply to a probe. */
    List<MemberEffect> handleProbeReply(long probe, boolean alive, Gossip gossip, Moment now) {
        mMesh.apply(gossip, true, now);
        mFailureDetector.handleReply(probe, alive, now);
        return flushEffects(now);
    }

    /** Handles gossip received outside of probes. */
    List<MemberEffect> handleGossip(Gossip gossip, Moment now) {
        mMesh.apply(gossip, true, now);
        return flushEffects(now);
    }

    /** Handles a synchronisation request and returns the reply. */
    SyncReply handleSyncRequest(SyncRequest request, Moment now) {
        return mReconciler.handleRequest(request, now);
    }

    /** Handles the reply to a synchronisation. */
    List<MemberEffect> handleSyncReply(NetAddress peer, SyncReply reply, Moment now) {
        mReconciler.handleReply(peer, reply, now);
        mRelays.recordSync(peer, true, now);
        return flushEffects(now);
    }

    /** Handles a synchronisation that got no reply. */
    List<MemberEffect> handleSyncFailure(NetAddress peer, Moment now) {
        mRelays.recordSync(peer, false, now);
        return flushEffects(now);
    }

    /** Changes the calls and admin addresses of this node. */
    List<MemberEffect> changeAddresses(NetAddress calls, NetAddress admin, Moment now) {
        mMesh.replaceSelf(Members.withAddresses(mMesh.self(), calls, admin), now);
        return flushEffects(now);
    }

    /** Replaces the endpoints of this node. */
    List<MemberEffect> changeEndpoints(List<Endpoint> endpoints, Moment now) {
        Member self = mMesh.self();
        mMesh.replaceSelf(Members.withEndpoints(self, endpoints, self.sequence() + 1), now);
        return flushEffects(now);
    }

    /** Writes a board entry. */
    List<MemberEffect> put(Board.Entry entry, Moment now) {
        mMesh.apply(entry, true, now);
        return flushEffects(now);
    }

    /**
     * Marks this node as left.
     *
     * @param maxLocalRecipients the maximum number of nodes of the data centre to notify
     * @return the nodes to notify, which should answer before the process ends
     */
    List<Member> leave(int maxLocalRecipients, Moment now) {
        Member self = mMesh.self();
        Member left = Members.withState(self, MemberState.LEFT);
        mMesh.replaceSelf(Members.withSequence(left, self.sequence() + 1), now);
        List<Member> recipients =
                new ArrayList<>(
                        mMesh.selectRandom(self.dataCentre(), maxLocalRecipients, self.node()));
        recipients.addAll(mRelays.relaysOfOtherDataCentres());
        return recipients;
    }

    /** Returns the effects decided since the last call, including queued updates that are due. */
    List<MemberEffect> flushEffects(Moment now) {
        mDisseminator.flush(now);
        return mMesh.drainEffects();
    }

    private void expire(Moment now) {
        boolean boardChanged = mMesh.board().expire(now.wallMillis());
        long tombstoneLimit = now.millis() - mMesh.policy().tombstoneMillis();
        boolean membersChanged = mMesh.table().removeTombstonesBefore(tombstoneLimit);
        if (boardChanged || membersChanged) {
            mMesh.markChanged();
        }
    }
}
