package org.azurearch.internal.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.NodeId;
import org.azurearch.member.Board;
import org.azurearch.member.Member;
import org.azurearch.time.Backoff;
import org.jspecify.annotations.Nullable;

/**
 * Joins the mesh through seeds, and periodically synchronises with peers to find missed updates.
 */
final class Reconciler {
    private static final Duration JOIN_BASE_DELAY = Duration.ofMillis(200);
    private static final Duration JOIN_MAX_DELAY = Duration.ofSeconds(5);
    private static final int BOARD_BUCKET = MemberTable.BUCKETS;
    private static final int MAX_SEEDS = 1_024;

    private final MeshState mMesh;
    private final Set<NetAddress> mSeeds = new LinkedHashSet<>();
    private final Backoff mJoinBackoff;
    private boolean mJoined;
    private long mNextJoinMillis;
    private long mNextSyncMillis;

    Reconciler(MeshState mesh, List<NetAddress> seeds, Moment now) {
        mMesh = mesh;
        mJoinBackoff = new Backoff(JOIN_BASE_DELAY, JOIN_MAX_DELAY, mesh.random());
        mNextJoinMillis = now.millis();
        mNextSyncMillis = now.millis() + mesh.random().nextLong(mesh.policy().syncPeriodMillis());
        seeds.forEach(this::addSeed);
    }

    /** Adds an address at which a peer may be found. */
    void addSeed(NetAddress seed) {
        if (mSeeds.size() < MAX_SEEDS && !seed.equals(mMesh.self().peer())) {
            mSeeds.add(seed);
        }
    }

    /** Returns whether a peer has answered since the start. */
    boolean joined() {
        return mJoined;
    }

    void tick(Moment now) {
        if (!mJoined && now.millis() >= mNextJoinMillis) {
            mNextJoinMillis = now.millis() + mJoinBackoff.nextDelay().toMillis();
            join();
        }
        if (now.millis() >= mNextSyncMillis) {
            mNextSyncMillis = now.millis() + mMesh.policy().syncPeriodMillis();
            syncWithinDataCentre();
            syncWithUnreachableSeed();
        }
    }

    /** Handles a synchronisation request and returns the reply. */
    SyncReply handleRequest(SyncRequest request, Moment now) {
        mMesh.apply(request.gossip(), true, now);
        if (request.whole()) {
            Gossip all = new Gossip(mMesh.table().all(), mMesh.board().all());
            return new SyncReply(false, all, List.of(), List.of());
        }
        if (!request.buckets().isEmpty()) {
            return replyToVersions(request);
        }
        if (request.viewHash() == mMesh.viewHash()) {
            return new SyncReply(true, Gossip.NONE, List.of(), List.of());
        }
        return new SyncReply(false, Gossip.NONE, bucketHashes(), List.of());
    }

    /** Handles the reply to a synchronisation and requests or sends what still differs. */
    void handleReply(NetAddress peer, SyncReply reply, Moment now) {
        mMesh.apply(reply.gossip(), mJoined, now);
        mJoined = true;
        if (!reply.bucketHashes().isEmpty()) {
            sendVersions(peer, reply.bucketHashes());
        }
        if (!reply.wanted().isEmpty()) {
            sendWanted(peer, reply.wanted());
        }
    }

    private void join() {
        @Nullable NetAddress seed = randomAddress(mSeeds);
        if (seed != null) {
            Gossip self = Gossip.of(mMesh.self());
            mMesh.addEffect(
                    new MemberEffect.Synchronise(
                            seed, SyncRequest.everything(mMesh.viewHash(), self)));
        }
    }

    private void syncWithinDataCentre() {
        for (Member peer : mMesh.selectRandom(mMesh.self().dataCentre(), 1, mMesh.self().node())) {
            startSync(peer.peer());
        }
    }

    /**
     * Synchronises with a seed whose address is not that of a reachable node, so that separate
     * meshes merge.
     */
    private void syncWithUnreachableSeed() {
        Set<NetAddress> unreachable = new LinkedHashSet<>(mSeeds);
        for (Member member : mMesh.table().all()) {
            if (member.reachable()) {
                unreachable.remove(member.peer());
            }
        }
        @Nullable NetAddress seed = randomAddress(unreachable);
        if (seed != null) {
            startSync(seed);
        }
    }

    private void startSync(NetAddress peer) {
        mMesh.addEffect(
                new MemberEffect.Synchronise(
                        peer, SyncRequest.compare(mMesh.viewHash(), Gossip.of(mMesh.self()))));
    }

    private List<Long> bucketHashes() {
        List<Long> hashes = new ArrayList<>();
        for (long hash : mMesh.table().bucketHashes()) {
            hashes.add(hash);
        }
        hashes.add(mMesh.board().hash());
        return hashes;
    }

    private void sendVersions(NetAddress peer, List<Long> theirs) {
        List<Long> ours = bucketHashes();
        Set<Integer> buckets = new HashSet<>();
        for (int i = 0; i < Math.min(ours.size(), theirs.size()); i++) {
            if (!ours.get(i).equals(theirs.get(i))) {
                buckets.add(i);
            }
        }
        if (buckets.isEmpty()) {
            return;
        }
        Map<NodeId, MemberVersion> versions = new HashMap<>();
        for (Member member : mMesh.table().inBuckets(buckets)) {
            versions.put(member.node(), MemberVersion.of(member));
        }
        Gossip board = new Gossip(List.of(), boardEntriesFor(buckets));
        mMesh.addEffect(
                new MemberEffect.Synchronise(
                        peer, new SyncRequest(mMesh.viewHash(), board, false, buckets, versions)));
    }

    private SyncReply replyToVersions(SyncRequest request) {
        List<Member> newer = new ArrayList<>();
        Set<NodeId> wanted = new HashSet<>(request.versions().keySet());
        for (Member member : mMesh.table().inBuckets(request.buckets())) {
            @Nullable MemberVersion theirs = request.versions().get(member.node());
            MemberVersion ours = MemberVersion.of(member);
            if (theirs == null || ours.supersedes(theirs)) {
                newer.add(member);
            }
            if (theirs != null && !theirs.supersedes(ours)) {
                wanted.remove(member.node());
            }
        }
        wanted.removeIf(node -> isUnknownTombstone(node, request));
        return new SyncReply(
                false,
                new Gossip(newer, boardEntriesFor(request.buckets())),
                List.of(),
                new ArrayList<>(wanted));
    }

    private boolean isUnknownTombstone(NodeId node, SyncRequest request) {
        @Nullable MemberVersion theirs = request.versions().get(node);
        if (theirs == null || mMesh.table().member(node) != null) {
            return false;
        }
        return switch (theirs.state()) {
            case ALIVE, SUSPECT -> false;
            case LEFT, DEAD -> true;
        };
    }

    private void sendWanted(NetAddress peer, List<NodeId> wanted) {
        List<Member> records = new ArrayList<>();
        for (NodeId node : wanted) {
            @Nullable Member member = mMesh.table().member(node);
            if (member != null) {
                records.add(member);
            }
        }
        Gossip gossip = new Gossip(records, List.of());
        mMesh.addEffect(
                new MemberEffect.Synchronise(peer, SyncRequest.compare(mMesh.viewHash(), gossip)));
    }

    private List<Board.Entry> boardEntriesFor(Set<Integer> buckets) {
        return buckets.contains(BOARD_BUCKET) ? mMesh.board().all() : List.of();
    }

    private @Nullable NetAddress randomAddress(Set<NetAddress> addresses) {
        if (addresses.isEmpty()) {
            return null;
        }
        List<NetAddress> candidates = List.copyOf(addresses);
        return candidates.get(mMesh.random().nextInt(candidates.size()));
    }
}
