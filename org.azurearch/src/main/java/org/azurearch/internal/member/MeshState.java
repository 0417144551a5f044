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
 * A node's member records and board, and its queues of outgoing updates and effects. Shared by the
 * parts of the membership; not thread-safe.
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

    /** Returns the number of updates of peers and of the board applied so far. */
    long updatesApplied() {
        return mUpdatesApplied;
    }

    /** Returns a number that increases with each change. */
    long generation() {
        return mGeneration;
    }

    /** Records a change caused by the passage of time. */
    void markChanged() {
        mGeneration++;
    }

    void addEffect(MemberEffect effect) {
        mEffects.add(effect);
    }

    /**
     * Returns whether a node or an endpoint has stopped taking calls since the last call of this
     * method.
     */
    boolean takeUrgent() {
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

    /** Returns the hash over the reachable records and the board. */
    long viewHash() {
        return mTable.hash() + mBoard.hash();
    }

    /** Applies updates sent by a peer, and queues them for gossip if they are to be forwarded. */
    void apply(Gossip gossip, boolean forward, Moment now) {
        for (Member received : gossip.members()) {
            Member member = downgradeDeath(received, now);
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

    /** Applies a board entry. */
    void apply(Board.Entry entry, boolean forward, Moment now) {
        if (mBoard.merge(entry, now.wallMillis())) {
            recordUpdate();
            if (forward) {
                mPiggybackQueue.add(entry);
                mEagerQueue.add(entry);
            }
        }
    }

    /** Applies a record of a peer whose state this node has decided. */
    void applyLocalDecision(Member member, Moment now) {
        if (mTable.merge(member, now.millis())) {
            recordUpdate(member);
            queueForGossip(member);
        }
    }

    /** Replaces this node's own record by a newer one. */
    void replaceSelf(Member self, Moment now) {
        mSelf = self;
        mTable.merge(self, now.millis());
        mGeneration++;
        mUrgent |= Members.unreachableOrNotReady(self);
        queueForGossip(self);
    }

    /** Returns updates to piggyback on one message. */
    Gossip nextPiggyback() {
        return mPiggybackQueue.nextBatch(mPolicy.piggybackUpdates(), transmissions());
    }

    /** Selects reachable members of a data centre at random, without this node and one other. */
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
     * Downgrades a record that declares a node dead to a suspicion unless this node has suspected
     * it for a while: after a partition each side has declared the nodes of the other dead, and
     * they get time to refute.
     */
    private Member downgradeDeath(Member received, Moment now) {
        MemberTable.Row current = mTable.row(received.node());
        if (received.state() != MemberState.DEAD
                || current == null
                || !current.member().reachable()) {
            return received;
        }
        boolean suspectedLongEnough =
                current.member().state() == MemberState.SUSPECT
                        && now.millis() - current.sinceMillis() >= mPolicy.suspicionMillis() / 2;
        return suspectedLongEnough ? received : Members.withState(received, MemberState.SUSPECT);
    }

    private void queueForGossip(Member member) {
        mPiggybackQueue.add(member);
        mEagerQueue.add(member);
    }

    private void recordUpdate(Member member) {
        recordUpdate();
        mUrgent |= Members.unreachableOrNotReady(member);
    }

    private void recordUpdate() {
        mUpdatesApplied++;
        mGeneration++;
    }

    private int transmissions() {
        int nodes = mTable.reachableCount(mSelf.dataCentre());
        return Math.max(MIN_TRANSMISSIONS, Integer.SIZE - Integer.numberOfLeadingZeros(nodes));
    }

    /** Queues this node's record in response to an outdated one that does not show it as alive. */
    private void queueOwnRecord(Member received) {
        if (received.state() != MemberState.ALIVE) {
            mPiggybackQueue.add(mSelf);
        }
    }

    /** Overrides a received record of this node that supersedes its own. */
    private void refute(Member received, Moment now) {
        MemberVersion own = MemberVersion.of(mSelf);
        boolean superseded = MemberVersion.of(received).supersedes(own);
        if (!superseded || mSelf.state() == MemberState.LEFT) {
            queueOwnRecord(received);
            return;
        }
        boolean laterIncarnation = received.incarnation() > mSelf.incarnation();
        replaceSelf(
                laterIncarnation
                        ? Members.withIncarnation(mSelf, received.incarnation() + 1)
                        : Members.withSequence(mSelf, received.sequence() + 1),
                now);
    }
}
