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
 * Decides on the membership: takes messages and the passage of time, and says what to send. It does
 * no I/O and has no thread or clock of its own; it is not thread-safe.
 */
final class MemberCore {
    private final MeshState mMesh;
    private final FailureDetector mFailureDetector;
    private final Relays mRelays;
    private final Disseminator mDisseminator;
    private final Reconciler mReconciler;

    /**
     * Creates the membership of a node that knows no other.
     *
     * @param self the node's own record
     * @param seeds where other nodes may be found
     * @param policy periods and limits
     * @param random the source of randomness
     * @param now the time
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

    /** Returns what the node knows. */
    MeshState mesh() {
        return mMesh;
    }

    /** Says whether another node has answered since the start. */
    boolean joined() {
        return mReconciler.joined();
    }

    /** Adds an address at which a node may be found. */
    void addSeed(NetAddress seed) {
        mReconciler.addSeed(seed);
    }

    /** Lets time pass. */
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

    /** Takes a ping and returns the updates that ride on its answer. */
    Gossip handlePing(Gossip gossip, Moment now) {
        mMesh.apply(gossip, true, now);
        return mMesh.nextPiggyback();
    }

    /** Takes the answer to a probe. */
    List<MemberEffect> handleProbeReply(long probe, boolean alive, Gossip gossip, Moment now) {
        mMesh.apply(gossip, true, now);
        mFailureDetector.handleReply(probe, alive, now);
        return flushEffects(now);
    }

    /** Takes updates that came without a probe. */
    List<MemberEffect> handleGossip(Gossip gossip, Moment now) {
        mMesh.apply(gossip, true, now);
        return flushEffects(now);
    }

    /** Answers a node that synchronises with this one. */
    SyncReply handleSyncRequest(SyncRequest request, Moment now) {
        return mReconciler.handleRequest(request, now);
    }

    /** Takes the answer to a synchronisation. */
    List<MemberEffect> handleSyncReply(NetAddress peer, SyncReply reply, Moment now) {
        mReconciler.handleReply(peer, reply, now);
        mRelays.recordSync(peer, true, now);
        return flushEffects(now);
    }

    /** Notes that a synchronisation got no answer. */
    List<MemberEffect> handleSyncFailure(NetAddress peer, Moment now) {
        mRelays.recordSync(peer, false, now);
        return flushEffects(now);
    }

    /** Changes the addresses of this node. */
    List<MemberEffect> changeAddresses(NetAddress calls, NetAddress admin, Moment now) {
        mMesh.replaceSelf(Members.withAddresses(mMesh.self(), calls, admin), now);
        return flushEffects(now);
    }

    /** Changes the endpoints behind this node. */
    List<MemberEffect> changeEndpoints(List<Endpoint> endpoints, Moment now) {
        Member self = mMesh.self();
        mMesh.replaceSelf(Members.withEndpoints(self, endpoints, self.sequence() + 1), now);
        return flushEffects(now);
    }

    /** Writes an entry of the board. */
    List<MemberEffect> put(Board.Entry entry, Moment now) {
        mMesh.apply(entry, true, now);
        return flushEffects(now);
    }

    /**
     * Marks this node as left.
     *
     * @param maxLocalRecipients the most nodes of the data centre that are told
     * @return the nodes to tell, which should answer before the process ends
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

    /** Returns the effects decided since the last call, updates that wait included. */
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
