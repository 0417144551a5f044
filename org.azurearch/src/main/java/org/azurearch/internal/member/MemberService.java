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

/** Runs the membership on its own thread and joins it with the transport and the timers. */
final class MemberService implements LocalNode, Board, EffectRunner.Answers, AutoCloseable {
    private static final Duration TICK = Duration.ofMillis(100);

    /** Changes that are not urgent come into force together. */
    private static final long PUBLISH_PERIOD_MILLIS = 20L;

    private static final int RING_CAPACITY = 1_024;

    private final MemberCore mCore;
    private final TimerService mTimers;
    private final PeerClient mClient;
    private final EffectRunner mRunner;
    private final PublishedView mPublished;
    private final Duty<Consumer<Moment>> mDuty;
    private final Counter mUpdates;
    private final List<Runnable> mBoardListeners = new CopyOnWriteArrayList<>();
    private final TimerService.ScheduledTask mTicks;
    private final Departure mDeparture;
    private final Duration mIndirectTimeout;
    private long mPublishedMillis;
    private boolean mAnnouncedJoin;

    MemberService(MemberCore core, PeerClient client, TimerService timers, MetricRegistry metrics) {
        mCore = core;
        mTimers = timers;
        mClient = client;
        MemberPolicy policy = core.mesh().policy();
        mRunner = new EffectRunner(client, policy, this);
        mIndirectTimeout = Duration.ofMillis(policy.probePeriodMillis() / 2);
        mPublished = new PublishedView(new MeshView(core.mesh(), null));
        mPublishedMillis = timers.time().millis();
        mUpdates = metrics.counter("members.updates");
        mDeparture = new Departure(client);
        metrics.gauge("members.known", () -> (Gauge<Integer>) () -> mPublished.all().size());
        mDuty =
                new Duty<>(
                        "members",
                        RING_CAPACITY,
                        OverflowRule.REJECT_NEWEST,
                        metrics,
                        task -> task.accept(Moment.now(timers.time())));
        mTicks = timers.every(TICK, () -> mDuty.offer(this::tick));
        mDuty.offer(this::tick);
    }

    MemberView memberView() {
        return mPublished;
    }

    EndpointView endpointView() {
        return mPublished.endpoints();
    }

    /** Takes the requests of other nodes. */
    void serve(PeerServer server) {
        server.registerAsyncHandler(PeerRequest._Fields.PING, request -> ping(request.getPing()));
        server.registerAsyncHandler(
                PeerRequest._Fields.INDIRECT_PING,
                request -> indirectPing(request.getIndirectPing()));
        server.registerAsyncHandler(
                PeerRequest._Fields.SYNC,
                request -> {
                    SyncRequest sync = MemberWire.read(request.getSync());
                    return answer(
                            now -> PeerReply.sync(MemberWire.write(mCore.synchronise(sync, now))));
                });
    }

    /** Adds addresses at which nodes may be found. */
    void addSeeds(List<NetAddress> seeds) {
        mDuty.offer(now -> seeds.forEach(mCore::addSeed));
    }

    /** Makes the backend server behind this node known. */
    void changeEndpoints(List<Endpoint> endpoints) {
        mDuty.offer(now -> run(mCore.changeEndpoints(endpoints, now), now));
    }

    @Override
    public void callsAddress(NetAddress address) {
        mDuty.offer(
                now -> {
                    Member self = mCore.mesh().self();
                    run(mCore.changeAddresses(address, self.admin(), now), now);
                });
    }

    @Override
    public void adminAddress(NetAddress address) {
        mDuty.offer(
                now -> {
                    Member self = mCore.mesh().self();
                    run(mCore.changeAddresses(self.calls(), address, now), now);
                });
    }

    @Override
    public void leave() {
        EventLog.log(MemberEvent.LEAVING);
        CompletableFuture<Departure.Notice> notice = new CompletableFuture<>();
        boolean offered =
                mDuty.offer(
                        now -> {
                            List<Member> told = mCore.leave(Departure.NODES_TOLD, now);
                            notice.complete(new Departure.Notice(mCore.mesh().self(), told));
                            run(mCore.done(now), now);
                        });
        if (offered) {
            mDeparture.announce(notice);
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
    public void listen(Runnable listener) {
        mBoardListeners.add(listener);
    }

    @Override
    public void probeAnswered(long probe, boolean alive, Gossip gossip) {
        mDuty.offer(now -> run(mCore.probeAnswered(probe, alive, gossip, now), now));
    }

    @Override
    public void told(Gossip gossip) {
        mDuty.offer(now -> run(mCore.told(gossip, now), now));
    }

    @Override
    public void synchronised(MemberEffect.Synchronise effect, @Nullable SyncReply reply) {
        mDuty.offer(
                now ->
                        run(
                                reply == null
                                        ? mCore.notSynchronised(effect.target(), now)
                                        : mCore.synchronised(effect.target(), reply, now),
                                now));
    }

    @Override
    public void close() {
        mTicks.cancel();
        mDuty.close();
    }

    private void tick(Moment now) {
        run(mCore.tick(now), now);
        if (mCore.joined() && !mAnnouncedJoin) {
            mAnnouncedJoin = true;
            EventLog.log(MemberEvent.JOINED, mCore.mesh().table().size());
        }
    }

    private void run(List<MemberEffect> effects, Moment now) {
        mRunner.run(effects);
        MeshView before = mPublished.view();
        boolean urgent = mCore.mesh().drainUrgent();
        boolean changed = mCore.mesh().generation() != before.generation();
        if (changed && (urgent || now.millis() - mPublishedMillis >= PUBLISH_PERIOD_MILLIS)) {
            mPublishedMillis = now.millis();
            mUpdates.inc(mCore.mesh().updatesTaken() - mUpdates.getCount());
            mPublished.publish(new MeshView(mCore.mesh(), before));
            mBoardListeners.forEach(Runnable::run);
        }
    }

    private CompletableFuture<PeerReply> ping(WirePing ping) {
        Gossip gossip = MemberWire.read(ping.getGossip());
        return answer(
                now -> {
                    boolean alive = ping.getTarget().equals(mCore.mesh().self().node().name());
                    WirePong pong = new WirePong(alive);
                    Gossip back = mCore.pinged(gossip, now);
                    if (!back.isEmpty()) {
                        pong.setGossip(MemberWire.write(back));
                    }
                    return PeerReply.pong(pong);
                });
    }

    private CompletableFuture<PeerReply> indirectPing(WireIndirectPing ping) {
        PeerRequest request = EffectRunner.ping(ping.getTarget(), Gossip.NONE);
        return mClient.send(MemberWire.read(ping.getAddress()), request, mIndirectTimeout)
                .handle(
                        (reply, failure) -> {
                            boolean alive =
                                    reply != null
                                            && (!reply.isSetPong() || reply.getPong().isAlive());
                            return PeerReply.pong(new WirePong(alive));
                        });
    }

    /** Answers a request on the membership's thread. */
    private CompletableFuture<PeerReply> answer(Function<Moment, PeerReply> handler) {
        CompletableFuture<PeerReply> reply = new CompletableFuture<>();
        boolean offered =
                mDuty.offer(
                        now -> {
                            PeerReply answer = handler.apply(now);
                            run(mCore.done(now), now);
                            reply.complete(answer);
                        });
        if (!offered) {
            reply.completeExceptionally(
                    new AzurearchException(ErrorCode.BUSY, "the membership is busy"));
        }
        return reply;
    }
}
