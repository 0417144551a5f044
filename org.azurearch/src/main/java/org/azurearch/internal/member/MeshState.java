package org.azurearch.internal.member;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.NodeId;
import org.azurearch.member.Board;
import org.azurearch.member.Member;
import org.azurearch.member.MemberState;

/**
 * What one node knows of the mesh, and the updates and effects that wait to go out. The parts of
 * the membership share it; it is not thread-safe.
 */
final class MeshState {
    private static final int MIN_TRANSMISSIONS = 2;

    private final MemberPolicy mPolicy;
    private final RandomGenerator mRandom;
    private final MemberTable mTable;
    private final BoardTable mBoard;
    private final GossipQueue mPiggybackQueue = new GossipQueue();
    private final GossipQueue mEagerQueue = new GossipQueue();
    private final List<MemberEffect> mEffects = new ArrayList<>();
    private Member mSelf;
    private long mUpdatesApplied;
    private long mGeneration;
    private boolean mUrgent;

    MeshState(Member self, MemberPolicy policy, RandomGenerator random, Moment now) {
        mSelf = self;
        mPolicy = policy;
        mRandom = random;
        mTable = new MemberTable(policy.maxMembers());
        mBoard = new BoardTable(policy.maxBoardEntries());
        mTable.merge(self, now.millis());
    }

    MemberPolicy policy() {
        return mPolicy;
    }

    RandomGenerator random() {
        return mRandom;
    }

    MemberTable table() {
        return mTable;
    }

    BoardTable board() {
        return mBoard;
    }

    GossipQueue eagerQueue() {
        return mEagerQueue;
    }

    Member self() {
        return mSelf;
    }

    /** Returns how many updates of other nodes and of the board were taken so far. */
    long updatesApplied() {
        return mUpdatesApplied;
    }

    /** Returns a number that grows with each change. */
    long generation() {
        return mGeneration;
    }

    /** Notes a change that came about by the passage of time. */
    void markChanged() {
        mGeneration++;
    }

    void addEffect(MemberEffect effect) {
        mEffects.add(effect);
    }

    /** Says whether a node or an endpoint stopped taking calls since the last call of this. */
    boolean getAndClearUrgent() {
        boolean urgent = mUrgent;
        mUrgent = false;
        return urgent;
    }

    /** Returns the effects decided since the last call. */
    List<MemberEffect> drainEffects() {
        List<MemberEffect> effects = List.copyOf(mEffects);
        mEffects.clear();
        return effects;
    }

    /** Returns the hash over records and board. */
    long viewHash() {
        return mTable.hash() + mBoard.hash();
    }

    /** Takes what another node sent. */
    void apply(Gossip gossip, boolean forward, Moment now) {
        for (Member received : gossip.members()) {
            Member member = weakenDeathClaim(received, now);
            if (member.node().equals(mSelf.node())) {
                refute(member, now);
            } else if (mTable.merge(member, now.millis())) {
                recordUpdate(member);
                if (forward) {
                    queueForGossip(member);
                }
            }
        }
        for (Board.Entry entry : gossip.board()) {
            apply(entry, forward, now);
        }
    }

    /** Takes an entry of the board. */
    void apply(Board.Entry entry, boolean forward, Moment now) {
        if (mBoard.merge(entry, now.wallMillis())) {
            recordUpdate();
            if (forward) {
                mPiggybackQueue.add(entry);
                mEagerQueue.add(entry);
            }
        }
    }

    /** Takes a new record of another node that this node decided on. */
    void applyLocalDecision(Member member, Moment now) {
        if (mTable.merge(member, now.millis())) {
            recordUpdate(member);
            queueForGossip(member);
        }
    }

    /** Replaces this node's own record, which must be newer. */
    void replaceSelf(Member self, Moment now) {
        mSelf = self;
        mTable.merge(self, now.millis());
        mGeneration++;
        mUrgent |= Members.takesNoCalls(self);
        queueForGossip(self);
    }

    /** Takes updates that ride on a message. */
    Gossip nextPiggyback() {
        return mPiggybackQueue.nextBatch(mPolicy.piggybackUpdates(), transmissions());
    }

    /** Returns some other reachable members of a data centre, drawn at random. */
    List<Member> selectRandom(DataCentreId dataCentre, int count, NodeId except) {
        List<Member> candidates = mTable.reachable(dataCentre);
        candidates.removeIf(
                member -> member.node().equals(mSelf.node()) || member.node().equals(except));
        List<Member> selected = new ArrayList<>();
        while (selected.size() < count && !candidates.isEmpty()) {
            int last = candidates.size() - 1;
            int index = mRandom.nextInt(candidates.size());
            selected.add(candidates.get(index));
            candidates.set(index, candidates.get(last));
            candidates.remove(last);
        }
        return selected;
    }

    /**
     * Turns the claim that a node is dead into suspicion unless this node has suspected it for a
     * while: after a partition each side claims the other dead, and those get time to refute.
     */
    private Member weakenDeathClaim(Member claim, Moment now) {
        MemberTable.Row current = mTable.row(claim.node());
        if (claim.state() != MemberState.DEAD || current == null || !current.member().reachable()) {
            return claim;
        }
        boolean suspectedLongEnough =
                current.member().state() == MemberState.SUSPECT
                        && now.millis() - current.sinceMillis() >= mPolicy.suspicionMillis() / 2;
        return suspectedLongEnough ? claim : Members.withState(claim, MemberState.SUSPECT);
    }

    private void queueForGossip(Member member) {
        mPiggybackQueue.add(member);
        mEagerQueue.add(member);
    }

    private void recordUpdate(Member member) {
        recordUpdate();
        mUrgent |= Members.takesNoCalls(member);
    }

    private void recordUpdate() {
        mUpdatesApplied++;
        mGeneration++;
    }

    private int transmissions() {
        int nodes = mTable.reachableCount(mSelf.dataCentre());
        return Math.max(MIN_TRANSMISSIONS, Integer.SIZE - Integer.numberOfLeadingZeros(nodes));
    }

    /** A sender that holds an outdated record of this node learns the current one. */
    private void queueOwnRecord(Member claim) {
        if (claim.state() != MemberState.ALIVE) {
            mPiggybackQueue.add(mSelf);
        }
    }

    /** Overrides what others believe of this node when it is not what this node says of itself. */
    private void refute(Member claim, Moment now) {
        MemberVersion own = MemberVersion.of(mSelf);
        boolean superseded = MemberVersion.of(claim).supersedes(own);
        if (!superseded || mSelf.state() == MemberState.LEFT) {
            queueOwnRecord(claim);
            return;
        }
        boolean laterIncarnation = claim.incarnation() > mSelf.incarnation();
        replaceSelf(
                laterIncarnation
                        ? Members.withIncarnation(mSelf, claim.incarnation() + 1)
                        : Members.withSequence(mSelf, claim.sequence() + 1),
                now);
    }
}
