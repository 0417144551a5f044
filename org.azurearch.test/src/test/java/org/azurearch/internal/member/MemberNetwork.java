package org.azurearch.internal.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.NodeId;
import org.azurearch.lib.RegionId;
import org.azurearch.member.Member;
import org.azurearch.member.MemberState;
import org.azurearch.settings.SettingsSection;
import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.PeerRequest;
import org.azurearch.thrift.WireIndirectPing;
import org.azurearch.thrift.WirePong;

/**
 * Connects membership cores by a simulated network on a manual clock. Messages are delayed, lost,
 * duplicated and cut off; the seed makes a run repeatable.
 */
final class MemberNetwork {
    static final long START_WALL_MILLIS = 1_000_000_000_000L;
    private static final long TICK_MILLIS = 100;
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final int FIRST_PORT = 1_000;

    /** Overhead per message: frame length, envelope, seal header and tag. */
    private static final int OVERHEAD_BYTES = 66;

    private record Event(long at, long order, Runnable task) {}

    final Map<String, MemberCore> mCores = new LinkedHashMap<>();
    final List<String> mTrace = new ArrayList<>();
    final SplittableRandom mRandom;
    final MemberPolicy mPolicy = MemberPolicy.from(SettingsSection.empty());
    private final Map<NetAddress, String> mByAddress = new LinkedHashMap<>();
    private final Map<String, Integer> mPorts = new LinkedHashMap<>();
    private final Map<String, Map<String, String>> mLastTraced = new LinkedHashMap<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparing(Event::order));
    double mLossRate;
    double mDuplicationRate;
    BiPredicate<String, String> mPartition = (from, to) -> false;
    boolean mTracing;
    boolean mCounting;
    long mBytes;
    private long mNow;
    private long mOrder;

    MemberNetwork(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    Moment now() {
        return new Moment(mNow, START_WALL_MILLIS + mNow);
    }

    /** Starts a process; its seeds are the first three nodes of the mesh. */
    MemberCore start(String node, String dataCentre) {
        int port = mPorts.computeIfAbsent(node, key -> FIRST_PORT + mPorts.size());
        NetAddress peer = new NetAddress("10.0.0.1", port);
        List<NetAddress> seeds = mByAddress.keySet().stream().limit(3).toList();
        mByAddress.put(peer, node);
        Member self =
                new Member(
                        NodeId.fromString(node),
                        DataCentreId.fromString(dataCentre),
                        RegionId.fromString("region"),
                        now().wallMillis(),
                        0,
                        MemberState.ALIVE,
                        peer,
                        peer,
                        peer,
                        List.of());
        MemberCore core = new MemberCore(self, seeds, mPolicy, mRandom.split(), now());
        mCores.put(node, core);
        mLastTraced.remove(node);
        at(mRandom.nextLong(TICK_MILLIS), () -> tick(node, core));
        return core;
    }

    void kill(String node) {
        mCores.remove(node);
    }

    MemberCore core(String node) {
        return mCores.get(node);
    }

    Member view(String node, String of) {
        return core(node).mesh().table().member(NodeId.fromString(of));
    }

    /** Returns whether all running nodes hold the same records of reachable nodes. */
    boolean converged() {
        return mCores.values().stream().map(core -> core.mesh().table().hash()).distinct().count()
                == 1;
    }

    void run(long millis) {
        long end = mNow + millis;
        while (!mEvents.isEmpty() && mEvents.peek().at() <= end) {
            Event event = mEvents.poll();
            mNow = Math.max(mNow, event.at());
            event.task().run();
        }
        mNow = end;
    }

    /**
     * Runs until a condition holds; returns the milliseconds taken, or -1 if the limit passed
     * first.
     */
    long runUntil(long limitMillis, BooleanSupplier condition) {
        long start = mNow;
        while (!condition.getAsBoolean()) {
            if (mNow - start >= limitMillis) {
                return -1;
            }
            run(10);
        }
        return mNow - start;
    }

    /** Adds a line to the trace. */
    void trace(String text) {
        mTrace.add(String.format("%6d %s", mNow, text));
    }

    /** Executes effects of a node. */
    void perform(String from, List<MemberEffect> effects) {
        effects.forEach(effect -> perform(from, effect));
        traceChanges(from);
    }

    private void tick(String node, MemberCore core) {
        if (mCores.get(node) == core) {
            perform(node, core.tick(now()));
            at(TICK_MILLIS, () -> tick(node, core));
        }
    }

    private void perform(String from, MemberEffect effect) {
        if (effect instanceof MemberEffect.Probe probe) {
            probe(from, probe);
        } else if (effect instanceof MemberEffect.IndirectProbe probe) {
            probeIndirectly(from, probe);
        } else if (effect instanceof MemberEffect.SendGossip spread) {
            spread(from, spread);
        } else if (effect instanceof MemberEffect.Synchronise sync) {
            synchronise(from, sync);
        }
    }

    private void probe(String from, MemberEffect.Probe probe) {
        String to = probe.target().node().name();
        MemberCore sender = core(from);
        if (!mCores.containsKey(to)) {
            deliver(
                    from,
                    from,
                    () -> handleProbeReply(from, sender, probe.probe(), false, Gossip.NONE));
            return;
        }
        PeerRequest request = EffectRunner.pingRequest(to, probe.gossip());
        exchange(
                from,
                to,
                request,
                receiver -> {
                    Gossip back = receiver.handlePing(probe.gossip(), now());
                    perform(to, receiver.flushEffects(now()));
                    PeerReply reply =
                            PeerReply.pong(new WirePong(true).setGossip(MemberWire.write(back)));
                    return new Reply(
                            reply, () -> handleProbeReply(from, sender, probe.probe(), true, back));
                });
    }

    private void handleProbeReply(
            String node, MemberCore core, long probe, boolean alive, Gossip gossip) {
        if (mCores.get(node) == core) {
            perform(node, core.handleProbeReply(probe, alive, gossip, now()));
        }
    }

    private void handleGossip(String node, MemberCore core, Gossip gossip) {
        if (mCores.get(node) == core) {
            perform(node, core.handleGossip(gossip, now()));
        }
    }

    private void probeIndirectly(String from, MemberEffect.IndirectProbe probe) {
        String via = probe.via().node().name();
        String to = probe.target().node().name();
        MemberCore sender = core(from);
        PeerRequest request =
                PeerRequest.indirectPing(
                        new WireIndirectPing(to, MemberWire.write(probe.target().peer())));
        exchange(
                from,
                via,
                request,
                relay -> {
                    boolean alive =
                            mCores.containsKey(to)
                                    && !mPartition.test(via, to)
                                    && mRandom.nextDouble() >= mLossRate;
                    return new Reply(
                            PeerReply.pong(new WirePong(alive)),
                            () ->
                                    handleProbeReply(
                                            from, sender, probe.probe(), alive, Gossip.NONE));
                });
    }

    private void spread(String from, MemberEffect.SendGossip spread) {
        String to = spread.target().node().name();
        MemberCore sender = core(from);
        PeerRequest request = EffectRunner.pingRequest(to, spread.gossip());
        exchange(
                from,
                to,
                request,
                receiver -> {
                    Gossip back = receiver.handlePing(spread.gossip(), now());
                    perform(to, receiver.flushEffects(now()));
                    PeerReply reply =
                            PeerReply.pong(new WirePong(true).setGossip(MemberWire.write(back)));
                    return new Reply(reply, () -> handleGossip(from, sender, back));
                });
    }

    private void synchronise(String from, MemberEffect.Synchronise sync) {
        String to = mByAddress.get(sync.target());
        MemberCore sender = core(from);
        boolean[] answered = {false};
        PeerRequest request = PeerRequest.sync(MemberWire.write(sync.request()));
        exchange(
                from,
                to,
                request,
                receiver -> {
                    SyncReply reply = receiver.handleSyncRequest(sync.request(), now());
                    perform(to, receiver.flushEffects(now()));
                    return new Reply(
                            PeerReply.sync(MemberWire.write(reply)),
                            () -> {
                                answered[0] = true;
                                if (mCores.get(from) == sender) {
                                    perform(
                                            from,
                                            sender.handleSyncReply(sync.target(), reply, now()));
                                }
                            });
                });
        at(
                TIMEOUT_MILLIS,
                () -> {
                    if (!answered[0] && mCores.get(from) == sender) {
                        perform(from, sender.handleSyncFailure(sync.target(), now()));
                    }
                });
    }

    private record Reply(PeerReply wire, Runnable effect) {}

    private interface Receiver {
        Reply handle(MemberCore core);
    }

    private void exchange(String from, String to, PeerRequest request, Receiver receiver) {
        count(request);
        deliver(
                from,
                to,
                () -> {
                    MemberCore core = core(to);
                    if (core != null) {
                        Reply reply = receiver.handle(core);
                        count(reply.wire());
                        deliver(to, from, reply.effect());
                    }
                });
    }

    private void deliver(String from, String to, Runnable task) {
        if (mPartition.test(from, to) || mRandom.nextDouble() < mLossRate) {
            return;
        }
        at(1 + mRandom.nextLong(5), task);
        if (mRandom.nextDouble() < mDuplicationRate) {
            at(1 + mRandom.nextLong(500), task);
        }
    }

    private void at(long delay, Runnable task) {
        mEvents.add(new Event(mNow + delay, mOrder++, task));
    }

    private void count(TBase<?, ?> message) {
        if (!mCounting) {
            return;
        }
        try {
            mBytes +=
                    new TSerializer(new TCompactProtocol.Factory()).serialize(message).length
                            + OVERHEAD_BYTES;
        } catch (TException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Adds the changes in the view of a node to the trace. */
    private void traceChanges(String node) {
        MemberCore core = core(node);
        if (!mTracing || core == null) {
            return;
        }
        Map<String, String> seen = mLastTraced.computeIfAbsent(node, key -> new LinkedHashMap<>());
        for (Member member : core.mesh().table().all()) {
            long incarnation = member.incarnation() - START_WALL_MILLIS;
            String text =
                    member.state()
                            + " "
                            + incarnation
                            + "."
                            + member.sequence()
                            + endpoints(member);
            String before = seen.put(member.node().name(), text);
            if (!text.equals(before)) {
                trace(node + " sees " + member.node() + " " + text);
            }
        }
    }

    private static String endpoints(Member member) {
        return member.endpoints().isEmpty()
                ? ""
                : " " + member.endpoints().stream().map(e -> e.state().name()).toList();
    }
}
