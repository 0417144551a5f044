package org.azurearch.internal.spread;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.Digest;
import org.azurearch.lib.NodeId;
import org.azurearch.member.Member;
import org.azurearch.member.MemberView;
import org.azurearch.spread.Position;
import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.PeerRequest;
import org.azurearch.thrift.WireChunkRequest;
import org.azurearch.thrift.WireManifestRequest;
import org.azurearch.thrift.WirePull;
import org.azurearch.thrift.WirePullReply;
import org.azurearch.thrift.WirePush;
import org.azurearch.time.TimeSource;
import org.azurearch.transport.PeerClient;
import org.jspecify.annotations.Nullable;

/** Sends the core's requests to peers and converts the replies to inputs. */
final class PeerOperations {
    private final PeerClient mClient;
    private final MemberView mMembers;
    private final ProgressTable mProgress;
    private final TimeSource mTime;
    private final SpreadSettings mSettings;
    private final Consumer<SpreadInput> mInputs;

    PeerOperations(
            PeerClient client,
            MemberView members,
            ProgressTable progress,
            TimeSource time,
            SpreadSettings settings,
            Consumer<SpreadInput> inputs) {
        mClient = client;
        mMembers = members;
        mProgress = progress;
        mTime = time;
        mSettings = settings;
        mInputs = inputs;
    }

    /** Pushes a delta. */
    void push(NodeId to, Delta delta, List<NodeId> subtree) {
        WirePush push = new WirePush(WireMapper.delta(delta));
        if (!subtree.isEmpty()) {
            push.setSubtree(WireMapper.nodeNames(subtree));
        }
        send(
                to,
                PeerRequest.push(push),
                (reply, retryAfterMillis) -> {
                    if (reply != null && reply.isSetPush()) {
                        recordProgress(to, WireMapper.position(reply.getPush().getPosition()));
                    } else {
                        mInputs.accept(new SpreadInput.PushFailed(to, delta, subtree));
                    }
                });
    }

    /** Pulls the records that follow a position. */
    void pull(NodeId to, Position position, int maxBytes) {
        Member self = mMembers.self();
        WirePull pull = new WirePull(self.node().name(), WireMapper.position(position), maxBytes);
        pull.setDataCentre(self.dataCentre().name());
        send(
                to,
                PeerRequest.pull(pull),
                (reply, retryAfterMillis) ->
                        mInputs.accept(
                                reply != null && reply.isSetPull()
                                        ? pullInput(to, reply.getPull())
                                        : new SpreadInput.PullFailed(to, retryAfterMillis)));
    }

    /** Requests the manifest of a peer's snapshot. */
    void fetchManifest(NodeId to) {
        send(
                to,
                PeerRequest.manifest(new WireManifestRequest()),
                (reply, retryAfterMillis) ->
                        mInputs.accept(
                                reply != null && reply.isSetManifest()
                                        ? new SpreadInput.ManifestAnswered(
                                                to, WireMapper.manifest(reply.getManifest()))
                                        : new SpreadInput.FetchFailed(to, null, retryAfterMillis)));
    }

    /** Requests a chunk of a snapshot. */
    void fetchChunk(NodeId to, Digest digest) {
        send(
                to,
                PeerRequest.chunk(new WireChunkRequest(WireMapper.buffer(digest))),
                (reply, retryAfterMillis) ->
                        mInputs.accept(
                                reply != null && reply.isSetChunk()
                                        ? new SpreadInput.ChunkAnswered(
                                                to, digest, chunkContent(digest, reply))
                                        : new SpreadInput.FetchFailed(
                                                to, digest, retryAfterMillis)));
    }

    private SpreadInput pullInput(NodeId to, WirePullReply reply) {
        Position position = WireMapper.position(reply.getPosition());
        recordProgress(to, position);
        Delta delta = reply.isSetDelta() ? WireMapper.delta(reply.getDelta()) : null;
        return new SpreadInput.PullAnswered(to, position, delta, reply.isSnapshotNeeded());
    }

    private void recordProgress(NodeId node, Position position) {
        mMembers.member(node)
                .ifPresent(
                        member ->
                                mProgress.recordOffset(
                                        node,
                                        member.dataCentre(),
                                        position.offset(),
                                        mTime.wallMillis()));
    }

    private static byte @Nullable [] chunkContent(Digest digest, PeerReply reply) {
        return reply.getChunk().isSetData()
                ? SnapshotRecords.decompress(digest, reply.getChunk().getData())
                : null;
    }

    /**
     * Sends a request. The callback gets the reply, or null on failure, and the time to wait before
     * a retry, which is 0 unless the peer was busy.
     */
    private void send(
            NodeId to, PeerRequest request, BiConsumer<@Nullable PeerReply, Long> callback) {
        Optional<Member> member = mMembers.member(to);
        CompletableFuture<PeerReply> reply =
                member.isPresent()
                        ? mClient.send(member.get().peer(), request, mSettings.peerTimeout())
                        : CompletableFuture.failedFuture(
                                new AzurearchException(
                                        ErrorCode.PEER_UNAVAILABLE, "unknown node " + to));
        reply.handle((answer, failure) -> answer)
                .thenAccept(answer -> deliver(answer, callback))
                .exceptionally(
                        malformed -> {
                            callback.accept(null, 0L);
                            return null;
                        });
    }

    private static void deliver(
            @Nullable PeerReply answer, BiConsumer<@Nullable PeerReply, Long> callback) {
        if (answer != null && answer.isSetBusy()) {
            callback.accept(null, Math.max(1L, answer.getBusy().getRetryAfterMillis()));
        } else {
            callback.accept(answer, 0L);
        }
    }
}
