package org.azurearch.internal.member;

import java.util.ArrayList;
import java.util.List;
import org.azurearch.lib.DataCentreId;
import org.azurearch.member.Member;
import org.azurearch.member.MemberState;

/**
 * Sends each new update at once to a few nodes of the data centre; a relay also sends those that
 * originate in its data centre to one relay of each other data centre.
 */
final class Disseminator {
    private static final long MIN_PERIOD_MILLIS = 50L;
    private static final int MAX_UPDATES = 8;

    /** How often each update is sent, each time to newly selected nodes. */
    private static final int TRANSMISSIONS = 2;

    private final MeshState mMesh;
    private final Relays mRelays;
    private long mLastFlushMillis;

    Disseminator(MeshState mesh, Relays relays, Moment now) {
        mMesh = mesh;
        mRelays = relays;
        mLastFlushMillis = now.millis() - MIN_PERIOD_MILLIS;
    }

    /** Sends queued updates unless some were sent within the last {@link #MIN_PERIOD_MILLIS}. */
    void flush(Moment now) {
        if (mMesh.eagerQueue().size() == 0 || now.millis() - mLastFlushMillis < MIN_PERIOD_MILLIS) {
            return;
        }
        mLastFlushMillis = now.millis();
        Gossip gossip = mMesh.eagerQueue().nextBatch(MAX_UPDATES, TRANSMISSIONS);
        DataCentreId own = mMesh.self().dataCentre();
        for (Member target :
                mMesh.selectRandom(own, mMesh.policy().fanOut(), mMesh.self().node())) {
            mMesh.addEffect(new MemberEffect.SendGossip(target, gossip));
        }
        sendToOtherDataCentres(gossip);
    }

    private void sendToOtherDataCentres(Gossip gossip) {
        if (mRelays.isRelay()) {
            notifySuspects(gossip);
        }
        Gossip ours = localUpdates(gossip);
        if (!ours.isEmpty() && (mRelays.isRelay() || announcesOwnLeave(ours))) {
            for (Member target : mRelays.relaysOfOtherDataCentres()) {
                mMesh.addEffect(new MemberEffect.SendGossip(target, ours));
            }
        }
    }

    /** Notifies suspected nodes of other data centres, so that they can refute. */
    private void notifySuspects(Gossip gossip) {
        for (Member member : gossip.members()) {
            boolean remote = !member.dataCentre().equals(mMesh.self().dataCentre());
            if (remote && member.state() == MemberState.SUSPECT) {
                mMesh.addEffect(new MemberEffect.SendGossip(member, Gossip.of(member)));
            }
        }
    }

    private Gossip localUpdates(Gossip gossip) {
        List<Member> members = new ArrayList<>(gossip.members());
        members.removeIf(member -> !member.dataCentre().equals(mMesh.self().dataCentre()));
        return new Gossip(members, mRelays.isRelay() ? gossip.board() : List.of());
    }

    /** A leaving node notifies other data centres itself and does not depend on relays. */
    private boolean announcesOwnLeave(Gossip gossip) {
        return gossip.members().stream()
                .anyMatch(
                        member -> member.node().equals(mMesh.self().node()) && !member.reachable());
    }
}
