package org.azurearch.internal.spread;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.NodeId;
import org.azurearch.lib.RegionId;
import org.azurearch.log.LogClient;
import org.azurearch.member.Member;
import org.azurearch.member.MemberState;
import org.azurearch.member.MemberView;
import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.PeerRequest;
import org.azurearch.thrift.WireRefused;
import org.azurearch.time.TimerService;
import org.azurearch.transport.AsyncPeerHandler;
import org.azurearch.transport.PeerClient;
import org.azurearch.transport.PeerHandler;
import org.azurearch.transport.PeerServer;

/** A runner of a {@link FakeMesh}, with fakes of its services. */
final class FakeNode implements MemberView, PeerServer, PeerClient {
    private static final int MAX_LATENCY_MILLIS = 4;

    final String mName;
    final DataCentreId mDataCentre;
    final List<Long> mInstalled = new ArrayList<>();
    final MetricRegistry mMetrics;
    long mSentBytes;
    boolean mSilent;
    boolean mPositionPublishedEarly;

    private final FakeMesh mMesh;
    private final Map<PeerRequest._Fields, PeerHandler> mHandlers =
            new EnumMap<>(PeerRequest._Fields.class);
    private final List<Runnable> mListeners = new ArrayList<>();
    private final LogClient mLogClient;
    private final SpreadRunner mRunner;
    private final LogChangeService mChangeService;
    private boolean mKilled;

    FakeNode(FakeMesh mesh, String dataCentre, String name, MetricRegistry metrics) {
        mMesh = mesh;
        mName = name;
        mMetrics = metrics;
        mDataCentre = DataCentreId.fromString(dataCentre);
        mLogClient = mesh.mLog.client(name, () -> mesh.mLogCut.test(this));
        TimerService timers = mesh.mTimers;
        mRunner =
                new SpreadRunner(
                        "m",
                        mesh.mSettings,
                        new SpreadRunner.Services(
                                mLogClient,
                                this,
                                this,
                                timers,
                                metrics,
                                new CodecFormat(),
                                this::ring),
                        mesh.mRandom.nextLong());
        ProgressQuery progressQuery =
                new ProgressQuery(this, this, mRunner, mesh.mSettings, timers.time());
        mChangeService = new LogChangeService(mLogClient, "m", timers, mRunner, progressQuery);
    }

    void start() {
        mRunner.addListener(this::installed);
        mRunner.start(this);
    }

    void kill() {
        mKilled = true;
    }

    SpreadView view() {
        return mRunner.view();
    }

    LogChangeService changeService() {
        return mChangeService;
    }

    boolean reader() {
        return view().reader();
    }

    long offset() {
        return view().position().offset();
    }

    void membersChanged() {
        mListeners.forEach(Runnable::run);
    }

    private void installed(SpreadEffect.Installed installed) {
        long offset = installed.state().offset();
        mPositionPublishedEarly |= offset() >= offset;
        mMesh.trace(mName + " installs " + offset + " from " + installed.source());
        mInstalled.add(offset);
    }

    private InputRing ring(Consumer<SpreadInput> handler) {
        return new InputRing() {
            @Override
            public boolean offer(SpreadInput input) {
                if (!mKilled) {
                    mMesh.mTimers.after(Duration.ZERO, () -> handler.accept(input));
                }
                return !mKilled;
            }

            @Override
            public void close() {}
        };
    }

    @Override
    public CompletableFuture<PeerReply> send(NetAddress to, PeerRequest request, Duration timeout) {
        CompletableFuture<PeerReply> result = new CompletableFuture<>();
        FakeNode target = mMesh.mNodes.get(to.host());
        mSentBytes += size(request);
        mMesh.mTimers.after(
                timeout,
                () ->
                        result.completeExceptionally(
                                new AzurearchException(ErrorCode.PEER_UNAVAILABLE, "timeout")));
        if (target != null && !mSilent && !lost(target)) {
            int copies = mMesh.mRandom.nextDouble() < mMesh.mDuplicates ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                mMesh.mTimers.after(latency(), () -> target.serve(this, request, result));
            }
        }
        return result;
    }

    private void serve(FakeNode sender, PeerRequest request, CompletableFuture<PeerReply> result) {
        if (mKilled || mSilent || sender.mKilled) {
            return;
        }
        PeerReply reply;
        try {
            reply = mHandlers.get(request.getSetField()).handle(request.deepCopy());
        } catch (AzurearchException e) {
            reply = PeerReply.refused(new WireRefused(e.code().code(), "refused"));
        }
        PeerReply answer = reply;
        mSentBytes += size(reply);
        if (!lost(sender)) {
            mMesh.mTimers.after(latency(), () -> result.complete(answer));
        }
    }

    private boolean lost(FakeNode other) {
        return mMesh.mLinkCut.test(this, other) || mMesh.mRandom.nextDouble() < mMesh.mLoss;
    }

    private Duration latency() {
        return Duration.ofMillis(1 + mMesh.mRandom.nextInt(MAX_LATENCY_MILLIS));
    }

    private static int size(TBase<?, ?> message) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(message).length;
        } catch (TException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void registerHandler(PeerRequest._Fields kind, PeerHandler handler) {
        mHandlers.put(kind, handler);
    }

    @Override
    public void registerAsyncHandler(PeerRequest._Fields kind, AsyncPeerHandler handler) {
        throw new UnsupportedOperationException(kind.name());
    }

    @Override
    public NetAddress address() {
        return new NetAddress(mName, 1);
    }

    @Override
    public Member self() {
        NetAddress address = address();
        return new Member(
                NodeId.fromString(mName),
                mDataCentre,
                RegionId.fromString("r"),
                1,
                1,
                MemberState.ALIVE,
                address,
                address,
                address,
                List.of());
    }

    @Override
    public List<Member> all() {
        return mMesh.mNodes.values().stream().map(FakeNode::self).toList();
    }

    @Override
    public List<Member> reachable(DataCentreId dataCentre) {
        return mMesh.mNodes.values().stream()
                .filter(node -> node.mDataCentre.equals(dataCentre))
                .filter(node -> node == this || !mMesh.mLinkCut.test(this, node))
                .map(FakeNode::self)
                .toList();
    }

    @Override
    public List<DataCentreId> dataCentres() {
        return all().stream().map(Member::dataCentre).distinct().sorted().toList();
    }

    @Override
    public Optional<Member> member(NodeId node) {
        return all().stream().filter(member -> member.node().equals(node)).findFirst();
    }

    @Override
    public void addListener(Runnable listener) {
        mListeners.add(listener);
    }

    @Override
    public void close() {}

    @Override
    public String toString() {
        SpreadView view = view();
        return mName
                + " at "
                + view.position().offset()
                + " from "
                + view.source()
                + (view.reader() ? ", reader" : "")
                + (view.reason().isEmpty() ? "" : ", " + view.reason());
    }
}
