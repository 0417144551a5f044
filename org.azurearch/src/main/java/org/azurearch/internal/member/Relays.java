package org.azurearch.internal.member;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.NetAddress;
import org.azurearch.member.Board;
import org.azurearch.member.Member;
import org.azurearch.member.Rendezvous;

/** The exchange between data centres, which a few nodes of each carry on. */
final class Relays {
    /** The kind of the board's entries that say which data centres are silent. */
    static final String SILENT_KIND = "silent-data-centre";

    /** The value of an entry of a data centre that is silent. */
    static final String SILENT = "silent";

    /** The value of an entry of a data centre that was heard again. */
    static final String HEARD = "heard";

    private static final String KEY_PREFIX = "relay/";
    private static final long SILENT_TIME_TO_LIVE_MILLIS = 60_000L;
    private static final long SILENT_RENEWAL_MILLIS = 20_000L;

    /** What this node knows of the exchange with another data centre. */
    private static final class Remote {
        private long mHeardMillis;
        private long mSilentNotedMillis;
        private boolean mSilent;
        private boolean mLastFailed;

        private Remote(long nowMillis) {
            mHeardMillis = nowMillis;
        }
    }

    private final MeshState mMesh;
    private final Deque<DataCentreId> mRound = new ArrayDeque<>();
    private final Map<DataCentreId, Remote> mRemotes = new HashMap<>();
    private long mNextExchange;

    Relays(MeshState mesh, Moment now) {
        mMesh = mesh;
        mNextExchange = now.millis() + mesh.random().nextLong(mesh.policy().relayPeriodMillis());
    }

    /** Says whether this node exchanges with other data centres. */
    boolean isRelay() {
        return relaysOf(mMesh.self().dataCentre()).stream()
                .anyMatch(member -> member.node().equals(mMesh.self().node()));
    }

    /** Returns one relay of every other data centre. */
    List<Member> others() {
        List<Member> others = new ArrayList<>();
        for (DataCentreId dataCentre : otherDataCentres()) {
            others.add(drawRelay(dataCentre));
        }
        return others;
    }

    void tick(Moment now) {
        if (now.millis() < mNextExchange) {
            return;
        }
        mNextExchange = now.millis() + mMesh.policy().relayPeriodMillis();
        if (!isRelay()) {
            mRemotes.clear();
            return;
        }
        exchange(now);
        mRemotes.forEach((dataCentre, remote) -> noteSilence(dataCentre, remote, now));
    }

    /** Notes that an exchange with a node succeeded or failed. */
    void exchanged(NetAddress peer, boolean success, Moment now) {
        for (Map.Entry<DataCentreId, Remote> entry : mRemotes.entrySet()) {
            if (belongs(peer, entry.getKey())) {
                Remote remote = entry.getValue();
                remote.mLastFailed = !success;
                if (success) {
                    remote.mHeardMillis = now.millis();
                    noteHeard(entry.getKey(), remote, now);
                }
            }
        }
    }

    private void exchange(Moment now) {
        if (mRound.isEmpty()) {
            mRound.addAll(otherDataCentres());
        }
        DataCentreId next = mRound.poll();
        if (next == null || mMesh.table().reachable(next).isEmpty()) {
            return;
        }
        Remote remote = mRemotes.computeIfAbsent(next, key -> new Remote(now.millis()));
        Member peer =
                remote.mLastFailed
                        ? mMesh.draw(next, 1, mMesh.self().node()).get(0)
                        : drawRelay(next);
        mMesh.effect(
                new MemberEffect.Synchronise(
                        peer.peer(), SyncRequest.compare(mMesh.viewHash(), Gossip.NONE)));
    }

    private void noteSilence(DataCentreId dataCentre, Remote remote, Moment now) {
        long rounds = Math.max(1, otherDataCentres().size());
        long limit =
                mMesh.policy().silentMillis() + 2 * rounds * mMesh.policy().relayPeriodMillis();
        if (now.millis() - remote.mHeardMillis < limit) {
            return;
        }
        if (!remote.mSilent || now.millis() - remote.mSilentNotedMillis >= SILENT_RENEWAL_MILLIS) {
            remote.mSilent = true;
            remote.mSilentNotedMillis = now.millis();
            note(dataCentre, SILENT, now);
        }
    }

    private void noteHeard(DataCentreId dataCentre, Remote remote, Moment now) {
        if (remote.mSilent) {
            remote.mSilent = false;
            note(dataCentre, HEARD, now);
        }
    }

    private void note(DataCentreId dataCentre, String value, Moment now) {
        String key = mMesh.self().dataCentre().name() + "/" + dataCentre.name();
        long expires = now.wallMillis() + SILENT_TIME_TO_LIVE_MILLIS;
        mMesh.apply(new Board.Entry(SILENT_KIND, key, value, expires), true, now);
    }

    private boolean belongs(NetAddress peer, DataCentreId dataCentre) {
        return mMesh.table().reachable(dataCentre).stream()
                .anyMatch(member -> member.peer().equals(peer));
    }

    private List<DataCentreId> otherDataCentres() {
        List<DataCentreId> others = mMesh.table().dataCentres();
        others.remove(mMesh.self().dataCentre());
        return others;
    }

    private Member drawRelay(DataCentreId dataCentre) {
        List<Member> relays = relaysOf(dataCentre);
        return relays.get(mMesh.random().nextInt(relays.size()));
    }

    private List<Member> relaysOf(DataCentreId dataCentre) {
        return choose(
                dataCentre,
                mMesh.table().reachable(dataCentre),
                mMesh.policy().relaysPerDataCentre());
    }

    /** Chooses the relays of a data centre from its reachable nodes. */
    static List<Member> choose(DataCentreId dataCentre, List<Member> reachable, int count) {
        return Rendezvous.top(KEY_PREFIX + dataCentre.name(), reachable, count);
    }
}
