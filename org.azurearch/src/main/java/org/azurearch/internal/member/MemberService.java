package org.azurearch.internal.member;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Function;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.kernel.Duty;
import org.azurearch.kernel.OverflowRule;
import org.azurearch.lib.NetAddress;
import org.azurearch.member.Board;
import org.azurearch.member.Endpoint;
import org.azurearch.member.EndpointView;
import org.azurearch.member.LocalNode;
import org.azurearch.member.Member;
import org.azurearch.member.MemberView;
import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.PeerRequest;
import org.azurearch.thrift.WireIndirectPing;
import org.azurearch.thrift.WirePing;
import org.azurearch.thrift.WirePong;
import org.azurearch.time.TimerService;
import org.azurearch.transport.PeerClient;
import org.azurearch.transport.PeerServer;
import org.jspecify.annotations.Nullable;

/** Runs the membership on its own thread and connects it to the transport and the timers. */
final class MemberService implements LocalNode, Board, EffectRunner.ReplyHandler, AutoCloseable {
    private static final Duration TICK_PERIOD = Duration.ofMillis(100);

    /** Changes that are not urgent are collected for this long and published together. */
    private static final long PUBLISH_PERIOD_MILLIS = 20L;

    private static final int RING_CAPACITY = 1_024;

    private final MemberCore mCore;
    private final TimerService mTimers;
    private final PeerClient mClient;
    private final EffectRunner mEffectRunner;
    private final PublishedView mPublished;
    private final Duty<Consumer<Moment>> mDuty;
    private final Counter mUpdatesCounter;
    private final List<Runnable> mBoardListeners = new CopyOnWriteArrayList<>();
    private final TimerService.ScheduledTask mTicks;
    private final LeaveNotifier mLeaveNotifier;
    private final Duration mIndirectTimeout;
    private long mLastPublishMillis;
    private boolean mJoinLogged;

    MemberService(MemberCore core, PeerClient client, TimerService timers, MetricRegistry metrics) {
        mCore = core;
        mTimers = timers;
        mClient = client;
        MemberPolicy policy = core.mesh().policy();
        mEffectRunner = new EffectRunner(client, policy, this);
        mIndirectTimeout = Duration.ofMillis(policy.probePeriodMillis() / 2);
        mPublished = new PublishedView(new MeshView(core.mesh(), null));
        mLastPublishMillis = timers.time().millis();
        mUpdatesCounter = metrics.counter("members.updates");
        mLeaveNotifier = new LeaveNotifier(client);
        metrics.gauge("members.known", () -> (Gauge<Integer>) () -> mPublished.all().size());
        mDuty =
                new Duty<>(
                        "members",
                        RING_CAPACITY,
                        OverflowRule.REJECT_NEWEST,
                        metrics,
                        task -> task.accept(Moment.now(timers.time())));
        mTicks = timers.every(TICK_PERIOD, () -> mDuty.offer(this::tick));
        mDuty.offer(this::tick);
    }

    MemberView memberView() {
        return mPublished;
    }

    EndpointView endpointView() {
        return mPublished.endpoints();
    }

    /** Registers handlers for the requests of peers. */
    void registerHandlers(PeerServer server) {
        server.registerAsyncHandler(
                PeerRequest._Fields.PING, request -> handlePing(request.getPing()));
        server.registerAsyncHandler(
                PeerRequest._Fields.INDIRECT_PING,
                request -> handleIndirectPing(request.getIndirectPing()));
        server.registerAsyncHandler(
                PeerRequest._Fields.SYNC,
                request -> {
                    SyncRequest sync = MemberWire.read(request.getSync());
                    return handleOnDuty(
                            now ->
                                    PeerReply.sync(
                                            MemberWire.write(mCore.handleSyncRequest(sync, now))));
                });
    }

    /** Adds addresses at which peers may be found. */
    void addSeeds(List<NetAddress> seeds) {
        mDuty.offer(now -> seeds.forEach(mCore::addSeed));
    }

    /** Replaces the endpoints of this node. */
    void changeEndpoints(List<Endpoint> endpoints) {
        mDuty.offer(now -> run(mCore.changeEndpoints(endpoints, now), now));
    }

    @Override
    public void setCallsAddress(NetAddress address) {
        mDuty.offer(
                now -> {
                    Member self = mCore.mesh().self();
                    run(mCore.changeAddresses(address, self.admin(), now), now);
                });
    }

    @Override
    public void setAdminAddress(NetAddress address) {
        mDuty.offer(
                now -> {
                    Member self = mCore.mesh().self();
                    run(mCore.changeAddresses(self.calls(), address, now), now);
                });
    }

    @Override
    public void leave() {
        EventLog.log(MemberEvent.LEAVING);
        CompletableFuture<LeaveNotifier.Notice> notice = new CompletableFuture<>();
        boolean offered =
                mDuty.offer(
                        now -> {
                            List<Member> recipients =
                                    mCore.leave(LeaveNotifier.MAX_LOCAL_RECIPIENTS, now);
                            notice.complete(
                                    new LeaveNotifier.Notice(mCore.mesh().self(), recipients));
                            run(mCore.flushEffects(now), now);
                        });
        if (offered) {
            mLeaveNotifier.send(notice);
        }
    }

    @Override
    public void put(String kind, String key, String value, Duration timeToLive) {
        mDuty.offer(
                now -> {
                    long expires = now.wallMillis() + timeToLive.toMillis();
                    run(mCore.put(new Board.Entry(kind, key, value, expires), now), now);
                });
    }

    @Override
    public List<Board.Entry> entries(String kind) {
        return mPublished.view().entries(kind);
    }

    @Override
    public void addListener(Runnable listener) {
        mBoardListeners.add(listener);
    }

    @Override
    public void handleProbeReply(long probe, boolean alive, Gossip gossip) {
        mDuty.offer(now -> run(mCore.handleProbeReply(probe, alive, gossip, now), now));
    }

    @Override
    public void handleGossip(Gossip gossip) {
        mDuty.offer(now -> run(mCore.handleGossip(gossip, now), now));
    }

    @Override
    public void handleSyncReply(MemberEffect.Synchronise effect, @Nullable SyncReply reply) {
        mDuty.offer(
                now ->
                        run(
                                reply == null
                                        ? mCore.handleSyncFailure(effect.target(), now)
                                        : mCore.handleSyncReply(effect.target(), reply, now),
                                now));
    }

    @Override
    public void close() {
        mTicks.cancel();
        mDuty.close();
    }

    private void tick(Moment now) {
        run(mCore.tick(now), now);
        if (mCore.joined() && !mJoinLogged) {
            mJoinLogged = true;
            EventLog.log(MemberEvent.JOINED, mCore.mesh().table().size());
        }
    }

    private void run(List<MemberEffect> effects, Moment now) {
        mEffectRunner.run(effects);
        MeshView before = mPublished.view();
        boolean urgent = mCore.mesh().takeUrgent();
        boolean changed = mCore.mesh().generation() != before.generation();
        if (changed && (urgent || now.millis() - mLastPublishMillis >= PUBLISH_PERIOD_MILLIS)) {
            mLastPublishMillis = now.millis();
            mUpdatesCounter.inc(mCore.mesh().updatesApplied() - mUpdatesCounter.getCount());
            mPublished.publish(new MeshView(mCore.mesh(), before));
            mBoardListeners.forEach(Runnable::run);
        }
    }

    private CompletableFuture<PeerReply> handlePing(WirePing ping) {
        Gossip gossip = MemberWire.read(ping.getGossip());
        return handleOnDuty(
                now -> {
                    boolean alive = ping.getTarget().equals(mCore.mesh().self().node().name());
                    WirePong pong = new WirePong(alive);
                    Gossip piggyback = mCore.handlePing(gossip, now);
                    if (!piggyback.isEmpty()) {
                        pong.setGossip(MemberWire.write(piggyback));
                    }
                    return PeerReply.pong(pong);
                });
    }

    private CompletableFuture<PeerReply> handleIndirectPing(WireIndirectPing ping) {
        PeerRequest request = EffectRunner.pingRequest(ping.getTarget(), Gossip.NONE);
        return mClient.send(MemberWire.read(ping.getAddress()), request, mIndirectTimeout)
                .handle(
                        (reply, failure) -> {
                            boolean alive =
                                    reply != null
                                            && (!reply.isSetPong() || reply.getPong().isAlive());
                            return PeerReply.pong(new WirePong(alive));
                        });
    }

    /** Handles a request on the membership's thread. */
    private CompletableFuture<PeerReply> handleOnDuty(Function<Moment, PeerReply> handler) {
        CompletableFuture<PeerReply> reply = new CompletableFuture<>();
        boolean offered =
                mDuty.offer(
                        now -> {
                            PeerReply answer = handler.apply(now);
                            run(mCore.flushEffects(now), now);
                            reply.complete(answer);
                        });
        if (!offered) {
            reply.completeExceptionally(
                    new AzurearchException(ErrorCode.BUSY, "membership queue is full"));
        }
        return reply;
    }
}
