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
    private final Prober mProber;
    private final Relays mRelays;
    private final Spreader mSpreader;
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
        mProber = new Prober(mMesh, now);
        mRelays = new Relays(mMesh, now);
        mSpreader = new Spreader(mMesh, mRelays, now);
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
            return done(now);
        }
        mReconciler.tick(now);
        mProber.tick(now);
        mRelays.tick(now);
        expire(now);
        return done(now);
    }

    /** Takes a ping and returns the updates that ride on its answer. */
    Gossip pinged(Gossip gossip, Moment now) {
        mMesh.apply(gossip, true, now);
        return mMesh.piggyback();
    }

    /** Takes the answer to a probe. */
    List<MemberEffect> probeAnswered(long probe, boolean alive, Gossip gossip, Moment now) {
        mMesh.apply(gossip, true, now);
        mProber.answered(probe, alive, now);
        return done(now);
    }

    /** Takes updates that came without a probe. */
    List<MemberEffect> told(Gossip gossip, Moment now) {
        mMesh.apply(gossip, true, now);
        return done(now);
    }

    /** Answers a node that synchronises with this one. */
    SyncReply synchronise(SyncRequest request, Moment now) {
        return mReconciler.answer(request, now);
    }

    /** Takes the answer to a synchronisation. */
    List<MemberEffect> synchronised(NetAddress peer, SyncReply reply, Moment now) {
        mReconciler.answered(peer, reply, now);
        mRelays.exchanged(peer, true, now);
        return done(now);
    }

    /** Notes that a synchronisation got no answer. */
    List<MemberEffect> notSynchronised(NetAddress peer, Moment now) {
        mRelays.exchanged(peer, false, now);
        return done(now);
    }

    /** Changes the addresses of this node. */
    List<MemberEffect> changeAddresses(NetAddress calls, NetAddress admin, Moment now) {
        mMesh.replaceSelf(Members.withAddresses(mMesh.self(), calls, admin), now);
        return done(now);
    }

    /** Changes the endpoints behind this node. */
    List<MemberEffect> changeEndpoints(List<Endpoint> endpoints, Moment now) {
        Member self = mMesh.self();
        mMesh.replaceSelf(Members.withEndpoints(self, endpoints, self.sequence() + 1), now);
        return done(now);
    }

    /** Writes an entry of the board. */
    List<MemberEffect> put(Board.Entry entry, Moment now) {
        mMesh.apply(entry, true, now);
        return done(now);
    }

    /**
     * Marks this node as left.
     *
     * @param count the most nodes of the data centre that are told
     * @return the nodes to tell, which should answer before the process ends
     */
    List<Member> leave(int count, Moment now) {
        Member self = mMesh.self();
        Member left = Members.withState(self, MemberState.LEFT);
        mMesh.replaceSelf(Members.withSequence(left, self.sequence() + 1), now);
        List<Member> told = new ArrayList<>(mMesh.draw(self.dataCentre(), count, self.node()));
        told.addAll(mRelays.others());
        return told;
    }

    /** Returns the effects decided since the last call, updates that wait included. */
    List<MemberEffect> done(Moment now) {
        mSpreader.flush(now);
        return mMesh.drainEffects();
    }

    private void expire(Moment now) {
        boolean boardChanged = mMesh.board().expire(now.wallMillis());
        long before = now.millis() - mMesh.policy().tombstoneMillis();
        boolean membersChanged = mMesh.table().forgetGoneBefore(before);
        if (boardChanged || membersChanged) {
            mMesh.changed();
        }
    }
}
