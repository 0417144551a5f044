package org.azurearch.internal.spread;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.Digest;
import org.azurearch.lib.NodeId;
import org.azurearch.member.MemberView;
import org.azurearch.spread.Position;
import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.PeerRequest;
import org.azurearch.thrift.WireBusy;
import org.azurearch.thrift.WireChunk;
import org.azurearch.thrift.WireNodeProgress;
import org.azurearch.thrift.WireProgress;
import org.azurearch.thrift.WirePull;
import org.azurearch.thrift.WirePullReply;
import org.azurearch.thrift.WirePush;
import org.azurearch.thrift.WirePushReply;
import org.azurearch.time.TimeSource;
import org.azurearch.transport.PeerServer;
import org.jspecify.annotations.Nullable;

/** Answers the requests of peers from the published view, without waiting for the core. */
final class PeerService {
    private static final int MAX_REPLY_BYTES = 1 << 20;
    private static final long RING_FULL_RETRY_MILLIS = 200;
    private static final long SERVE_BYTES_PER_MILLI = 8 << 10;
    private static final long SERVE_BURST_BYTES = 8 << 20;

    private final FoldFormat mFormat;
    private final Supplier<SpreadView> mView;
    private final Predicate<SpreadInput> mInputs;
    private final MemberView mMembers;
    private final ProgressTable mProgress;
    private final TimeSource mTime;
    private final ServeLimiter mLimiter;
    private final SnapshotCache mSnapshotCache;

    /**
     * Creates the service.
     *
     * @param format the encoding of states and deltas
     * @param view returns the published view
     * @param inputs offers an input to the core; returns false if its ring is full
     * @param members the membership
     * @param progress records the positions that peers report
     * @param time the clock
     * @param compressionLevel the zstd compression level of chunks
     */
    PeerService(
            FoldFormat format,
            Supplier<SpreadView> view,
            Predicate<SpreadInput> inputs,
            MemberView members,
            ProgressTable progress,
            TimeSource time,
            int compressionLevel) {
        mFormat = format;
        mView = view;
        mInputs = inputs;
        mMembers = members;
        mProgress = progress;
        mTime = time;
        mLimiter = new ServeLimiter(SERVE_BYTES_PER_MILLI, SERVE_BURST_BYTES, time.nanos());
        mSnapshotCache = new SnapshotCache(format, compressionLevel);
    }

    /** Registers the request handlers. */
    void register(PeerServer server) {
        server.registerHandler(PeerRequest._Fields.PUSH, request -> push(request.getPush()));
        server.registerHandler(PeerRequest._Fields.PULL, request -> pull(request.getPull()));
        server.registerHandler(PeerRequest._Fields.MANIFEST, request -> manifest());
        server.registerHandler(
                PeerRequest._Fields.CHUNK,
                request -> chunk(Digest.fromBytes(request.getChunk().getDigest())));
        server.registerHandler(
                PeerRequest._Fields.PROGRESS,
                request -> progress(request.getProgress().getOffset()));
    }

    private PeerReply push(WirePush push) {
        List<NodeId> subtree =
                push.isSetSubtree()
                        ? push.getSubtree().stream().map(NodeId::fromString).toList()
                        : List.of();
        boolean accepted =
                mInputs.test(new SpreadInput.Pushed(WireMapper.delta(push.getDelta()), subtree));
        return accepted
                ? PeerReply.push(new WirePushReply(WireMapper.position(mView.get().position())))
                : busy(RING_FULL_RETRY_MILLIS);
    }

    private PeerReply pull(WirePull pull) {
        NodeId node = NodeId.fromString(pull.getNode());
        Position peerPosition = WireMapper.position(pull.getPosition());
        if (pull.isSetDataCentre()) {
            DataCentreId dataCentre = DataCentreId.fromString(pull.getDataCentre());
            mProgress.recordOffset(node, dataCentre, peerPosition.offset(), mTime.wallMillis());
        }
        SpreadView view = mView.get();
        if (peerPosition.after(view.position())) {
            mInputs.test(new SpreadInput.PeerAhead(node, peerPosition));
        }
        if (!view.position().after(peerPosition) || pull.getMaxBytes() == 0) {
            return pullReply(view, null, false);
        }
        int maxBytes = Math.min(MAX_REPLY_BYTES, pull.getMaxBytes());
        Optional<Delta> delta = view.history().deltaFrom(peerPosition, maxBytes, mFormat);
        if (delta.isEmpty()) {
            return pullReply(view, null, true);
        }
        long wait = mLimiter.tryAcquire(delta.get().payload().length, mTime.nanos());
        return wait > 0 ? busy(wait) : pullReply(view, delta.get(), false);
    }

    private PeerReply manifest() {
        return PeerReply.manifest(
                WireMapper.manifest(mSnapshotCache.manifest(mView.get().history().state())));
    }

    private PeerReply chunk(Digest digest) {
        byte[] data = mSnapshotCache.chunk(digest);
        WireChunk chunk = new WireChunk(WireMapper.buffer(digest));
        if (data != null) {
            long wait = mLimiter.tryAcquire(data.length, mTime.nanos());
            if (wait > 0) {
                return busy(wait);
            }
            chunk.setData(ByteBuffer.wrap(data));
        }
        return PeerReply.chunk(chunk);
    }

    private PeerReply progress(long offset) {
        Position own = mView.get().position();
        DataCentreId home = mMembers.self().dataCentre();
        ProgressTable.Count count = mProgress.count(mMembers, home, offset, own.offset());
        WireProgress wire =
                new WireProgress(
                        home.name(), WireMapper.position(own), count.total(), count.inForce());
        long now = mTime.wallMillis();
        count.laggards()
                .forEach(
                        laggard ->
                                wire.addToLaggards(
                                        new WireNodeProgress(
                                                laggard.node().name(),
                                                laggard.reported().offset(),
                                                now - laggard.reported().reportedAtMillis())));
        return PeerReply.progress(wire);
    }

    private static PeerReply pullReply(
            SpreadView view, @Nullable Delta delta, boolean snapshotNeeded) {
        WirePullReply reply =
                new WirePullReply(WireMapper.position(view.position()), snapshotNeeded);
        if (delta != null) {
            reply.setDelta(WireMapper.delta(delta));
        }
        return PeerReply.pull(reply);
    }

    private static PeerReply busy(long retryAfterMillis) {
        return PeerReply.busy(new WireBusy(retryAfterMillis));
    }
}
