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

/** Synchronisation between data centres, done by a few nodes of each: the relays. */
final class Relays {
    /** Kind of the board entries that mark data centres as silent. */
    static final String SILENT_KIND = "silent-data-centre";

    /** Value of the entry of a data centre that does not respond. */
    static final String SILENT = "silent";

    /** Value of the entry of a data centre that responds again. */
    static final String RESPONDING = "heard";

    private static final String KEY_PREFIX = "relay/";
    private static final long SILENT_TIME_TO_LIVE_MILLIS = 60_000L;
    private static final long SILENT_RENEWAL_MILLIS = 20_000L;

    /** State of the synchronisation with another data centre. */
    private static final class RemoteDataCentre {
        private long mLastSuccessMillis;
        private long mSilencePublishedMillis;
        private boolean mSilent;
        private boolean mLastFailed;

        private RemoteDataCentre(long nowMillis) {
            mLastSuccessMillis = nowMillis;
        }
    }

    private final MeshState mMesh;
    private final Deque<DataCentreId> mSyncOrder = new ArrayDeque<>();
    private final Map<DataCentreId, RemoteDataCentre> mRemotes = new HashMap<>();
    private long mNextSyncMillis;

    Relays(MeshState mesh, Moment now) {
        mMesh = mesh;
        mNextSyncMillis = now.millis() + mesh.random().nextLong(mesh.policy().relayPeriodMillis());
    }

    /** Returns whether this node is a relay of its data centre. */
    boolean isRelay() {
        return relaysOf(mMesh.self().dataCentre()).stream()
                .anyMatch(member -> member.node().equals(mMesh.self().node()));
    }

    /** Returns one random relay of each other data centre. */
    List<Member> relaysOfOtherDataCentres() {
        List<Member> others = new ArrayList<>();
        for (DataCentreId dataCentre : otherDataCentres()) {
            others.add(randomRelay(dataCentre));
        }
        return others;
    }

    void tick(Moment now) {
        if (now.millis() < mNextSyncMillis) {
            return;
        }
        mNextSyncMillis = now.millis() + mMesh.policy().relayPeriodMillis();
        if (!isRelay()) {
            mRemotes.clear();
            return;
        }
        syncWithNext(now);
        mRemotes.forEach((dataCentre, remote) -> publishIfSilent(dataCentre, remote, now));
    }

    /** Records whether a synchronisation with a node succeeded. */
    void recordSync(NetAddress peer, boolean success, Moment now) {
        for (Map.Entry<DataCentreId, RemoteDataCentre> entry : mRemotes.entrySet()) {
            if (isReachableIn(peer, entry.getKey())) {
                RemoteDataCentre remote = entry.getValue();
                remote.mLastFailed = !success;
                if (success) {
                    remote.mLastSuccessMillis = now.millis();
                    publishIfRecovered(entry.getKey(), remote, now);
                }
            }
        }
    }

    private void syncWithNext(Moment now) {
        if (mSyncOrder.isEmpty()) {
            mSyncOrder.addAll(otherDataCentres());
        }
        DataCentreId next = mSyncOrder.poll();
        if (next == null || mMesh.table().reachable(next).isEmpty()) {
            return;
        }
        RemoteDataCentre remote =
                mRemotes.computeIfAbsent(next, key -> new RemoteDataCentre(now.millis()));
        Member peer =
                remote.mLastFailed
                        ? mMesh.selectRandom(next, 1, mMesh.self().node()).get(0)
                        : randomRelay(next);
        mMesh.addEffect(
                new MemberEffect.Synchronise(
                        peer.peer(), SyncRequest.compare(mMesh.viewHash(), Gossip.NONE)));
    }

    private void publishIfSilent(DataCentreId dataCentre, RemoteDataCentre remote, Moment now) {
        long rounds = Math.max(1, otherDataCentres().size());
        long limit =
                mMesh.policy().silentMillis() + 2 * rounds * mMesh.policy().relayPeriodMillis();
        if (now.millis() - remote.mLastSuccessMillis < limit) {
            return;
        }
        if (!remote.mSilent
                || now.millis() - remote.mSilencePublishedMillis >= SILENT_RENEWAL_MILLIS) {
            remote.mSilent = true;
            remote.mSilencePublishedMillis = now.millis();
            publish(dataCentre, SILENT, now);
        }
    }

    private void publishIfRecovered(DataCentreId dataCentre, RemoteDataCentre remote, Moment now) {
        if (remote.mSilent) {
            remote.mSilent = false;
            publish(dataCentre, RESPONDING, now);
        }
    }

    private void publish(DataCentreId dataCentre, String value, Moment now) {
        String key = mMesh.self().dataCentre().name() + "/" + dataCentre.name();
        long expires = now.wallMillis() + SILENT_TIME_TO_LIVE_MILLIS;
        mMesh.apply(new Board.Entry(SILENT_KIND, key, value, expires), true, now);
    }

    private boolean isReachableIn(NetAddress peer, DataCentreId dataCentre) {
        return mMesh.table().reachable(dataCentre).stream()
                .anyMatch(member -> member.peer().equals(peer));
    }

    private List<DataCentreId> otherDataCentres() {
        List<DataCentreId> others = mMesh.table().dataCentres();
        others.remove(mMesh.self().dataCentre());
        return others;
    }

    private Member randomRelay(DataCentreId dataCentre) {
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
