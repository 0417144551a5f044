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
 * Failure detection within the data centre: probes each node in turn, in a random order, asks
 * others when it does not answer, suspects it, and believes it dead unless it refutes.
 */
final class Prober {
    /** A tick that comes this many probe periods late shows that this process was paused. */
    private static final int PAUSE_PERIODS = 2;

    private static final double SUSPICION_SCALE = 4.0;

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
    private final Deque<NodeId> mRound = new ArrayDeque<>();
    private final Map<Long, Probe> mOpen = new HashMap<>();

    /** Nodes that this node suspected first, and when it told them last. */
    private final Map<NodeId, Long> mAccused = new HashMap<>();

    private long mNextProbe;
    private long mNextDeadProbe;
    private long mLastTick;
    private long mResumedMillis;
    private long mProbes;

    Prober(MeshState mesh, Moment now) {
        mMesh = mesh;
        mLastTick = now.millis();
        mResumedMillis = now.millis();
        mNextProbe = now.millis() + drawn(mesh.policy().probePeriodMillis());
        mNextDeadProbe = now.millis() + drawn(mesh.policy().deadProbePeriodMillis());
    }

    void tick(Moment now) {
        noticePause(now);
        checkOpen(now);
        tellAccused(now);
        checkSuspects(now);
        if (now.millis() >= mNextProbe) {
            mNextProbe = now.millis() + mMesh.policy().probePeriodMillis();
            probeNext(now);
        }
        if (now.millis() >= mNextDeadProbe) {
            mNextDeadProbe = now.millis() + mMesh.policy().deadProbePeriodMillis();
            probeDead();
        }
    }

    /** Takes the answer to a probe; an answer that it is not alive has others asked at once. */
    void answered(long probe, boolean alive, Moment now) {
        Probe open = mOpen.get(probe);
        if (open == null) {
            return;
        }
        if (alive) {
            mOpen.remove(probe);
        } else if (!open.mIndirect) {
            probeIndirectly(probe, open);
        }
    }

    private void noticePause(Moment now) {
        if (now.millis() - mLastTick > PAUSE_PERIODS * mMesh.policy().probePeriodMillis()) {
            mOpen.clear();
            mResumedMillis = now.millis();
        }
        mLastTick = now.millis();
    }

    private void checkOpen(Moment now) {
        MemberPolicy policy = mMesh.policy();
        Iterator<Map.Entry<Long, Probe>> open = mOpen.entrySet().iterator();
        while (open.hasNext()) {
            Map.Entry<Long, Probe> entry = open.next();
            Probe probe = entry.getValue();
            long age = now.millis() - probe.mSentMillis;
            if (age >= policy.probePeriodMillis()) {
                open.remove();
                suspect(probe.mTarget, now);
            } else if (age >= policy.pingTimeoutMillis() && !probe.mIndirect) {
                probeIndirectly(entry.getKey(), probe);
            }
        }
    }

    private void suspect(Member target, Moment now) {
        Member held = mMesh.table().member(target.node());
        if (held != null
                && held.state() == MemberState.ALIVE
                && MemberVersion.of(held).equals(MemberVersion.of(target))) {
            mMesh.decide(Members.withState(held, MemberState.SUSPECT), now);
            mAccused.put(target.node(), now.millis());
        }
    }

    /** Tells those that this node suspected again and again, so that they can refute. */
    private void tellAccused(Moment now) {
        Iterator<Map.Entry<NodeId, Long>> accused = mAccused.entrySet().iterator();
        while (accused.hasNext()) {
            Map.Entry<NodeId, Long> entry = accused.next();
            Member held = mMesh.table().member(entry.getKey());
            if (held == null || held.state() != MemberState.SUSPECT) {
                accused.remove();
            } else if (now.millis() - entry.getValue() >= mMesh.policy().pingTimeoutMillis()) {
                entry.setValue(now.millis());
                mMesh.effect(new MemberEffect.Spread(held, Gossip.of(held)));
            }
        }
    }

    private void checkSuspects(Moment now) {
        long timeout = suspicionMillis();
        for (MemberTable.Row row : mMesh.table().suspects()) {
            long since = Math.max(row.sinceMillis(), mResumedMillis);
            boolean own = row.member().dataCentre().equals(mMesh.self().dataCentre());
            if (own && now.millis() - since >= timeout) {
                mMesh.decide(Members.withState(row.member(), MemberState.DEAD), now);
            }
        }
    }

    private long suspicionMillis() {
        int nodes = mMesh.table().count(mMesh.self().dataCentre());
        double scale = Math.log(Math.max(2, nodes)) / Math.log(2) / SUSPICION_SCALE;
        return (long) (mMesh.policy().suspicionMillis() * Math.max(1.0, scale));
    }

    private void probeNext(Moment now) {
        @Nullable Member target = nextTarget();
        if (target == null) {
            return;
        }
        long id = ++mProbes;
        mOpen.put(id, new Probe(target, now.millis()));
        mMesh.effect(new MemberEffect.Probe(id, target, gossipFor(target)));
    }

    /** A suspected node is told so that it can refute. */
    private Gossip gossipFor(Member target) {
        Gossip gossip = mMesh.piggyback();
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
        for (Member via : mMesh.draw(mMesh.self().dataCentre(), count, probe.mTarget.node())) {
            mMesh.effect(new MemberEffect.IndirectProbe(id, via, probe.mTarget));
        }
    }

    /** Reaches for a node believed dead, so that the two sides of a partition meet again. */
    private void probeDead() {
        List<Member> dead =
                mMesh.table().gone().stream()
                        .filter(member -> member.state() == MemberState.DEAD)
                        .toList();
        if (!dead.isEmpty()) {
            Member target = dead.get(mMesh.random().nextInt(dead.size()));
            mMesh.effect(new MemberEffect.Spread(target, Gossip.of(target)));
        }
    }

    private @Nullable Member nextTarget() {
        for (int round = 0; round < 2; round++) {
            while (!mRound.isEmpty()) {
                Member member = mMesh.table().member(mRound.pop());
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
        mRound.addAll(nodes);
    }

    private static void shuffle(List<NodeId> nodes, RandomGenerator random) {
        for (int i = nodes.size() - 1; i > 0; i--) {
            Collections.swap(nodes, i, random.nextInt(i + 1));
        }
    }

    private long drawn(long bound) {
        return mMesh.random().nextLong(bound);
    }
}
