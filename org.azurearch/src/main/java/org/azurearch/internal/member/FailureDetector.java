package org.azurearch.internal.member;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.azurearch.lib.NodeId;
import org.azurearch.member.Member;
import org.azurearch.member.MemberState;
import org.jspecify.annotations.Nullable;

/**
 * Failure detection within the data centre, as in SWIM: pings each peer in turn, in random order,
 * asks other peers to ping one that does not reply, then suspects it, and declares it dead unless
 * it refutes in time.
 */
final class FailureDetector {
    /**
     * A gap between two ticks longer than this many probe periods shows that this process was
     * paused.
     */
    private static final int PAUSE_PROBE_PERIODS = 2;

    private static final double SUSPICION_LOG_DIVISOR = 4.0;

    private static final class Probe {
        private final Member mTarget;
        private final long mSentMillis;
        private boolean mIndirect;

        private Probe(Member target, long sentMillis) {
            mTarget = target;
            mSentMillis = sentMillis;
        }
    }

    private final MeshState mMesh;
    private final Deque<NodeId> mProbeOrder = new ArrayDeque<>();
    private final Map<Long, Probe> mPendingProbes = new HashMap<>();

    /** Nodes first suspected by this node, and when they were last notified. */
    private final Map<NodeId, Long> mOwnSuspicions = new HashMap<>();

    private long mNextProbeMillis;
    private long mNextDeadProbeMillis;
    private long mLastTickMillis;
    private long mResumedMillis;
    private long mLastProbeId;

    FailureDetector(MeshState mesh, Moment now) {
        mMesh = mesh;
        mLastTickMillis = now.millis();
        mResumedMillis = now.millis();
        mNextProbeMillis = now.millis() + randomDelay(mesh.policy().probePeriodMillis());
        mNextDeadProbeMillis = now.millis() + randomDelay(mesh.policy().deadProbePeriodMillis());
    }

    void tick(Moment now) {
        detectPause(now);
        checkPendingProbes(now);
        notifyOwnSuspects(now);
        expireSuspicions(now);
        if (now.millis() >= mNextProbeMillis) {
            mNextProbeMillis = now.millis() + mMesh.policy().probePeriodMillis();
            probeNext(now);
        }
        if (now.millis() >= mNextDeadProbeMillis) {
            mNextDeadProbeMillis = now.millis() + mMesh.policy().deadProbePeriodMillis();
            probeDead();
        }
    }

    /**
     * Handles the reply to a probe; if the target is reported as not alive, other peers are asked
     * to ping it at once.
     */
    void handleReply(long probe, boolean alive, Moment now) {
        Probe pending = mPendingProbes.get(probe);
        if (pending == null) {
            return;
        }
        if (alive) {
            mPendingProbes.remove(probe);
        } else if (!pending.mIndirect) {
            probeIndirectly(probe, pending);
        }
    }

    private void detectPause(Moment now) {
        if (now.millis() - mLastTickMillis
                > PAUSE_PROBE_PERIODS * mMesh.policy().probePeriodMillis()) {
            mPendingProbes.clear();
            mResumedMillis = now.millis();
        }
        mLastTickMillis = now.millis();
    }

    private void checkPendingProbes(Moment now) {
        MemberPolicy policy = mMesh.policy();
        Iterator<Map.Entry<Long, Probe>> pending = mPendingProbes.entrySet().iterator();
        while (pending.hasNext()) {
            Map.Entry<Long, Probe> entry = pending.next();
            Probe probe = entry.getValue();
            long age = now.millis() - probe.mSentMillis;
            if (age >= policy.probePeriodMillis()) {
                pending.remove();
                suspect(probe.mTarget, now);
            } else if (age >= policy.pingTimeoutMillis() && !probe.mIndirect) {
                probeIndirectly(entry.getKey(), probe);
            }
        }
    }

    private void suspect(Member target, Moment now) {
        Member current = mMesh.table().member(target.node());
        if (current != null
                && current.state() == MemberState.ALIVE
                && MemberVersion.of(current).equals(MemberVersion.of(target))) {
            mMesh.applyLocalDecision(Members.withState(current, MemberState.SUSPECT), now);
            mOwnSuspicions.put(target.node(), now.millis());
        }
    }

    /** Periodically notifies the nodes suspected by this node, so that they can refute. */
    private void notifyOwnSuspects(Moment now) {
        Iterator<Map.Entry<NodeId, Long>> suspicions = mOwnSuspicions.entrySet().iterator();
        while (suspicions.hasNext()) {
            Map.Entry<NodeId, Long> entry = suspicions.next();
            Member current = mMesh.table().member(entry.getKey());
            if (current == null || current.state() != MemberState.SUSPECT) {
                suspicions.remove();
            } else if (now.millis() - entry.getValue() >= mMesh.policy().pingTimeoutMillis()) {
                entry.setValue(now.millis());
                mMesh.addEffect(new MemberEffect.SendGossip(current, Gossip.of(current)));
            }
        }
    }

    private void expireSuspicions(Moment now) {
        long timeout = suspicionTimeoutMillis();
        for (MemberTable.Row row : mMesh.table().suspects()) {
            long since = Math.max(row.sinceMillis(), mResumedMillis);
            boolean own = row.member().dataCentre().equals(mMesh.self().dataCentre());
            if (own && now.millis() - since >= timeout) {
                mMesh.applyLocalDecision(Members.withState(row.member(), MemberState.DEAD), now);
            }
        }
    }

    private long suspicionTimeoutMillis() {
        int nodes = mMesh.table().reachableCount(mMesh.self().dataCentre());
        double scale = Math.log(Math.max(2, nodes)) / Math.log(2) / SUSPICION_LOG_DIVISOR;
        return (long) (mMesh.policy().suspicionMillis() * Math.max(1.0, scale));
    }

    private void probeNext(Moment now) {
        @Nullable Member target = nextTarget();
        if (target == null) {
            return;
        }
        long id = ++mLastProbeId;
        mPendingProbes.put(id, new Probe(target, now.millis()));
        mMesh.addEffect(new MemberEffect.Probe(id, target, gossipFor(target)));
    }

    /** Includes the record of a suspected target, so that it can refute. */
    private Gossip gossipFor(Member target) {
        Gossip gossip = mMesh.nextPiggyback();
        if (target.state() != MemberState.SUSPECT || gossip.members().contains(target)) {
            return gossip;
        }
        List<Member> members = new ArrayList<>(gossip.members());
        members.add(target);
        return new Gossip(members, gossip.board());
    }

    private void probeIndirectly(long id, Probe probe) {
        probe.mIndirect = true;
        int count = mMesh.policy().indirectProbes();
        for (Member via :
                mMesh.selectRandom(mMesh.self().dataCentre(), count, probe.mTarget.node())) {
            mMesh.addEffect(new MemberEffect.IndirectProbe(id, via, probe.mTarget));
        }
    }

    /** Contacts a dead node, so that the two sides of a partition merge again. */
    private void probeDead() {
        List<Member> dead =
                mMesh.table().tombstones().stream()
                        .filter(member -> member.state() == MemberState.DEAD)
                        .toList();
        if (!dead.isEmpty()) {
            Member target = dead.get(mMesh.random().nextInt(dead.size()));
            mMesh.addEffect(new MemberEffect.SendGossip(target, Gossip.of(target)));
        }
    }

    private @Nullable Member nextTarget() {
        for (int round = 0; round < 2; round++) {
            while (!mProbeOrder.isEmpty()) {
                Member member = mMesh.table().member(mProbeOrder.pop());
                if (member != null && member.reachable()) {
                    return member;
                }
            }
            startRound();
        }
        return null;
    }

    private void startRound() {
        List<NodeId> nodes = new ArrayList<>();
        for (Member member : mMesh.table().reachable(mMesh.self().dataCentre())) {
            if (!member.node().equals(mMesh.self().node())) {
                nodes.add(member.node());
            }
        }
        shuffle(nodes, mMesh.random());
        mProbeOrder.addAll(nodes);
    }

    private static void shuffle(List<NodeId> nodes, RandomGenerator random) {
        for (int i = nodes.size() - 1; i > 0; i--) {
            Collections.swap(nodes, i, random.nextInt(i + 1));
        }
    }

    private long randomDelay(long bound) {
        return mMesh.random().nextLong(bound);
    }
}
