package org.azurearch.internal.member;

import java.util.ArrayList;
import java.util.List;
import org.azurearch.lib.DataCentreId;
import org.azurearch.member.Member;
import org.azurearch.member.MemberState;

/**
 * Sends each new update at once to a few nodes of the data centre; a relay also sends those that
 * began in its data centre to one relay of every other one.
 */
final class Spreader {
    private static final long MIN_PERIOD_MILLIS = 50L;
    private static final int MAX_UPDATES = 8;

    /** How often each update is sent to a few nodes drawn anew. */
    private static final int ROUNDS = 2;

    private final MeshState mMesh;
    private final Relays mRelays;
    private long mLastFlush;

    Spreader(MeshState mesh, Relays relays, Moment now) {
        mMesh = mesh;
        mRelays = relays;
        mLastFlush = now.millis() - MIN_PERIOD_MILLIS;
    }

    /** Sends the updates that wait, unless some were sent a moment ago. */
    void flush(Moment now) {
        if (mMesh.eager().size() == 0 || now.millis() - mLastFlush < MIN_PERIOD_MILLIS) {
            return;
        }
        mLastFlush = now.millis();
        Gossip gossip = mMesh.eager().take(MAX_UPDATES, ROUNDS);
        DataCentreId own = mMesh.self().dataCentre();
        for (Member target : mMesh.draw(own, mMesh.policy().fanOut(), mMesh.self().node())) {
            mMesh.effect(new MemberEffect.Spread(target, gossip));
        }
        sendAbroad(gossip);
    }

    private void sendAbroad(Gossip gossip) {
        if (mRelays.isRelay()) {
            tellSuspects(gossip);
        }
        Gossip ours = begunHere(gossip);
        if (!ours.isEmpty() && (mRelays.isRelay() || concernsSelf(ours))) {
            for (Member target : mRelays.others()) {
                mMesh.effect(new MemberEffect.Spread(target, ours));
            }
        }
    }

    /** Nodes of other data centres that are suspected are told, so that they can refute. */
    private void tellSuspects(Gossip gossip) {
        for (Member member : gossip.members()) {
            boolean elsewhere = !member.dataCentre().equals(mMesh.self().dataCentre());
            if (elsewhere && member.state() == MemberState.SUSPECT) {
                mMesh.effect(new MemberEffect.Spread(member, Gossip.of(member)));
            }
        }
    }

    private Gossip begunHere(Gossip gossip) {
        List<Member> members = new ArrayList<>(gossip.members());
        members.removeIf(member -> !member.dataCentre().equals(mMesh.self().dataCentre()));
        return new Gossip(members, mRelays.isRelay() ? gossip.board() : List.of());
    }

    /** A node that leaves does not count on its relays. */
    private boolean concernsSelf(Gossip gossip) {
        return gossip.members().stream()
                .anyMatch(
                        member -> member.node().equals(mMesh.self().node()) && !member.reachable());
    }
}
