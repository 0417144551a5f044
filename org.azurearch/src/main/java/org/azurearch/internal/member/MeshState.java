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
    private final GossipQueue mPiggyback = new GossipQueue();
    private final GossipQueue mEager = new GossipQueue();
    private final List<MemberEffect> mEffects = new ArrayList<>();
    private Member mSelf;
    private long mUpdatesTaken;
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

    GossipQueue eager() {
        return mEager;
    }

    Member self() {
        return mSelf;
    }

    /** Returns how many updates of other nodes and of the board were taken so far. */
    long updatesTaken() {
        return mUpdatesTaken;
    }

    /** Returns a number that grows with each change. */
    long generation() {
        return mGeneration;
    }

    /** Notes a change that came about by the passage of time. */
    void changed() {
        mGeneration++;
    }

    void effect(MemberEffect effect) {
        mEffects.add(effect);
    }

    /** Says whether a node or an endpoint stopped taking calls since the last call of this. */
    boolean drainUrgent() {
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
    void apply(Gossip gossip, boolean passOn, Moment now) {
        for (Member told : gossip.members()) {
            Member member = softened(told, now);
            if (member.node().equals(mSelf.node())) {
                refute(member, now);
            } else if (mTable.merge(member, now.millis())) {
                noteUpdate(member);
                if (passOn) {
                    pass(member);
                }
            }
        }
        for (Board.Entry entry : gossip.board()) {
            apply(entry, passOn, now);
        }
    }

    /** Takes an entry of the board. */
    void apply(Board.Entry entry, boolean passOn, Moment now) {
        if (mBoard.merge(entry, now.wallMillis())) {
            noteUpdate();
            if (passOn) {
                mPiggyback.add(entry);
                mEager.add(entry);
            }
        }
    }

    /** Takes a new record of another node that this node decided on. */
    void decide(Member member, Moment now) {
        if (mTable.merge(member, now.millis())) {
            noteUpdate(member);
            pass(member);
        }
    }

    /** Replaces this node's own record, which must be newer. */
    void replaceSelf(Member self, Moment now) {
        mSelf = self;
        mTable.merge(self, now.millis());
        mGeneration++;
        mUrgent |= Members.takesNoCalls(self);
        pass(self);
    }

    /** Takes updates that ride on a message. */
    Gossip piggyback() {
        return mPiggyback.take(mPolicy.piggybackUpdates(), transmissions());
    }

    /** Returns some other reachable members of a data centre, drawn at random. */
    List<Member> draw(DataCentreId dataCentre, int count, NodeId except) {
        List<Member> candidates = mTable.reachable(dataCentre);
        candidates.removeIf(
                member -> member.node().equals(mSelf.node()) || member.node().equals(except));
        List<Member> drawn = new ArrayList<>();
        while (drawn.size() < count && !candidates.isEmpty()) {
            int last = candidates.size() - 1;
            int index = mRandom.nextInt(candidates.size());
            drawn.add(candidates.get(index));
            candidates.set(index, candidates.get(last));
            candidates.remove(last);
        }
        return drawn;
    }

    /**
     * Turns the claim that a node is dead into suspicion unless this node has suspected it for a
     * while: after a partition each side claims the other dead, and those get time to refute.
     */
    private Member softened(Member claim, Moment now) {
        MemberTable.Row held = mTable.row(claim.node());
        if (claim.state() != MemberState.DEAD || held == null || !held.member().reachable()) {
            return claim;
        }
        boolean suspectedLong =
                held.member().state() == MemberState.SUSPECT
                        && now.millis() - held.sinceMillis() >= mPolicy.suspicionMillis() / 2;
        return suspectedLong ? claim : Members.withState(claim, MemberState.SUSPECT);
    }

    private void pass(Member member) {
        mPiggyback.add(member);
        mEager.add(member);
    }

    private void noteUpdate(Member member) {
        noteUpdate();
        mUrgent |= Members.takesNoCalls(member);
    }

    private void noteUpdate() {
        mUpdatesTaken++;
        mGeneration++;
    }

    private int transmissions() {
        int nodes = mTable.count(mSelf.dataCentre());
        return Math.max(MIN_TRANSMISSIONS, Integer.SIZE - Integer.numberOfLeadingZeros(nodes));
    }

    /** A sender that holds an outdated record of this node learns the current one. */
    private void remind(Member claim) {
        if (claim.state() != MemberState.ALIVE) {
            mPiggyback.add(mSelf);
        }
    }

    /** Overrides what others believe of this node when it is not what this node says of itself. */
    private void refute(Member claim, Moment now) {
        MemberVersion own = MemberVersion.of(mSelf);
        boolean overridden = MemberVersion.of(claim).supersedes(own);
        if (!overridden || mSelf.state() == MemberState.LEFT) {
            remind(claim);
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
