package org.azurearch.sidecar.internal.rollout;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.azurearch.events.EventLog;
import org.azurearch.internal.member.Hashes;
import org.azurearch.lib.NodeId;
import org.azurearch.member.Rendezvous;
import org.azurearch.sidecar.FeatureSettings;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.internal.hop.HopLink;
import org.azurearch.sidecar.internal.mesh.NodeDirectory;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.NodeRecord;
import org.azurearch.sidecar.rollout.EvidenceCounter;
import org.azurearch.sidecar.rollout.ExposureBudget;
import org.azurearch.sidecar.rollout.RolloutCodec;
import org.azurearch.sidecar.rollout.RolloutOrder;
import org.azurearch.sidecar.rollout.RolloutState;
import org.azurearch.sidecar.rollout.VersionRouter;
import org.azurearch.sidecar.route.EndpointState;
import org.azurearch.sidecar.store.KeyedLog;
import org.azurearch.sidecar.store.KeyedRecord;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WireRolloutEvidence;
import org.azurearch.thrift.WireRolloutMessage;
import org.azurearch.thrift.WireRolloutState;
import org.jspecify.annotations.Nullable;

/**
 * The roll-outs of all services at this node: learns orders and states from the store and from
 * peers, chooses the versions of calls, and coordinates where it is the first candidate. Without an
 * order it sends nothing and does not access the store. Confined to one event loop.
 */
public final class RolloutService {
    /** Interval of the reports of a coordinator and of evidence. */
    private static final long REPORT_MILLIS = 200;

    /** Interval after which evidence is sent even if nothing was observed. */
    private static final long FULL_REPORT_MILLIS = 1_000;

    /** Gap between ticks from which on this process counts as suspended. */
    private static final long PAUSE_MILLIS = 600;

    private final NodeDirectory mDirectory;
    private final RolloutCodec mCodec;
    private final ExposureBudget mBudget;
    private final RolloutLead mLead;
    private final Counter mExposed;
    private final SplittableRandom mRandom = new SplittableRandom();
    private final Map<String, ServiceRollout> mServices = new TreeMap<>();
    private final Map<String, Long> mSentSequences = new HashMap<>();
    private Consumer<Boolean> mOwnBackendGate = rejected -> {};
    private boolean mOwnBackendRejected;
    private long mTickMillis;
    private long mReportMillis;
    private long mFullReportMillis;

    /**
     * Creates the service without orders.
     *
     * @param bound the bounds of roll-outs
     * @param directory the known nodes
     * @param log the platform's log
     * @param codec the formats of orders and status records
     * @param metrics where metrics are registered
     */
    public RolloutService(
            FeatureSettings.RolloutBound bound,
            NodeDirectory directory,
            KeyedLog log,
            RolloutCodec codec,
            MetricRegistry metrics) {
        mDirectory = directory;
        mCodec = codec;
        mBudget = new ExposureBudget(bound.exposeFraction(), bound.exposeSlack());
        mLead =
                new RolloutLead(
                        new RolloutStore(log, codec), this::broadcast, RolloutService::nowMillis);
        mExposed = metrics.counter("rollout.exposed");
        mTickMillis = nowMillis();
    }

    /** Sets what is called when the version of the own backend server is rolled back or not. */
    public void gateOwnBackend(Consumer<Boolean> gate) {
        mOwnBackendGate = gate;
    }

    /**
     * Stores the orders among records of the operators' stream and sends new ones to peers.
     *
     * @param records the records
     * @param newestEnd the end of the stream if the records are the newest of all keys, so that an
     *     order without a record was withdrawn; negative otherwise
     */
    public void recordsRead(List<KeyedRecord> records, long newestEnd) {
        List<RolloutOrder> orders = new ArrayList<>();
        Map<String, Boolean> present = new HashMap<>();
        for (KeyedRecord record : records) {
            if (record.key().startsWith(mCodec.keyPrefix())) {
                String service = record.key().substring(mCodec.keyPrefix().length());
                present.put(service, true);
                try {
                    orders.add(mCodec.decode(service, record.value(), record.offset()));
                } catch (RuntimeException e) {
                    EventLog.log(SidecarEvent.ROLLOUT_ORDER_UNREADABLE, record.key(), e.toString());
                }
            }
        }
        for (ServiceRollout rollout : mServices.values()) {
            RolloutOrder order = rollout.order();
            boolean withdrawn =
                    newestEnd >= 0
                            && order != null
                            && !order.isWithdrawn()
                            && order.id() < newestEnd
                            && !present.containsKey(rollout.service());
            if (withdrawn) {
                orders.add(RolloutOrder.withdrawn(rollout.service(), newestEnd - 1));
            }
        }
        List<RolloutOrder> changed = new ArrayList<>();
        for (RolloutOrder order : orders) {
            if (rollout(order.service()).order(order, nowMillis())) {
                changed.add(order);
            }
        }
        if (!changed.isEmpty()) {
            broadcast(ordersMessage(changed));
        }
    }

    /** Processes a message of a peer. */
    public void received(WireRolloutMessage message) {
        if (message.isSetDestination() && !message.getDestination().equals(self())) {
            forward(message.getDestination(), message);
            return;
        }
        long now = nowMillis();
        boolean changed = false;
        if (message.isSetOrders()) {
            for (var wire : message.getOrders()) {
                RolloutOrder order = RolloutWire.fromWire(wire);
                changed |= rollout(order.service()).order(order, now);
            }
        }
        if (message.isSetStates()) {
            for (RolloutState state : RolloutWire.readable(message.getStates())) {
                changed |= mergeState(state, message, now);
            }
        }
        if (message.isSetEvidence()) {
            for (WireRolloutEvidence wire : message.getEvidence()) {
                rollout(wire.getServiceName()).merge(wire.getOrderId(), RolloutWire.fromWire(wire));
            }
        }
        boolean report = message.isSetCoordinator();
        if ((changed || report) && !message.isRelayed()) {
            WireRolloutMessage copy = new WireRolloutMessage(message).setRelayed(true);
            mDirectory.relay(HopFrame.rollout(copy));
        }
        updateGate();
    }

    private boolean mergeState(RolloutState state, WireRolloutMessage message, long now) {
        ServiceRollout rollout = rollout(state.service());
        return message.isSetCoordinator()
                ? rollout.reported(state, message.getCoordinator(), !message.isStoreDown(), now)
                : rollout.merge(state, now);
    }

    /** Sends all orders and states to a peer. */
    public void sendAll(Consumer<HopFrame> peer) {
        List<RolloutOrder> orders = new ArrayList<>();
        List<WireRolloutState> states = new ArrayList<>();
        for (ServiceRollout rollout : mServices.values()) {
            RolloutOrder order = rollout.order();
            RolloutState state = rollout.state(nowMillis());
            if (order != null) {
                orders.add(order);
            }
            if (state != null) {
                states.add(RolloutWire.toWire(state));
            }
        }
        if (!orders.isEmpty() || !states.isEmpty()) {
            peer.accept(HopFrame.rollout(ordersMessage(orders).setStates(states).setRelayed(true)));
        }
    }

    /** Returns a digest of all orders and states; 0 if there are none. */
    public long digest() {
        long digest = 0;
        for (ServiceRollout rollout : mServices.values()) {
            RolloutOrder order = rollout.order();
            RolloutState state = rollout.state(nowMillis());
            if (order != null) {
                digest += Hashes.of("order " + rollout.service(), order.id(), 0);
            }
            if (state != null) {
                digest +=
                        Hashes.of(
                                rollout.service() + state.verdict(), state.orderId(), state.step());
            }
        }
        return digest;
    }

    /** Coordinates, reports and sends evidence; called several times a second. */
    public void tick() {
        long now = nowMillis();
        boolean paused = now - mTickMillis > PAUSE_MILLIS;
        mTickMillis = now;
        boolean report = now - mReportMillis >= REPORT_MILLIS;
        boolean full = now - mFullReportMillis >= FULL_REPORT_MILLIS;
        if (report) {
            mReportMillis = now;
        }
        if (full) {
            mFullReportMillis = now;
        }
        for (ServiceRollout rollout : mServices.values()) {
            if (rollout.active() || rollout.recentlyDecided(now) || mLead.owesStatus(rollout)) {
                if (paused) {
                    rollout.leadership().paused(now);
                }
                rollout.leadership().candidates(candidates(rollout.service()));
                tick(rollout, now, report, full);
            }
        }
        updateGate();
    }

    private void tick(ServiceRollout rollout, long now, boolean report, boolean full) {
        rollout.tick(now);
        mLead.tick(rollout, now, report);
        EvidenceCounter counter = rollout.counter();
        boolean changed = mSentSequences.getOrDefault(rollout.service(), -1L) != counter.sequence();
        if (rollout.active() && (full || (report && changed))) {
            mSentSequences.put(rollout.service(), counter.sequence());
            WireRolloutEvidence evidence =
                    RolloutWire.toWire(rollout.service(), rollout.orderId(), counter.snapshot());
            for (String node : rollout.leadership().recipients(now)) {
                WireRolloutMessage message = new WireRolloutMessage(now);
                message.setEvidence(List.of(evidence)).setDestination(node);
                forward(node, message);
            }
        }
    }

    /** Sends a message to a node, over a node of its data centre if there is no link to it. */
    private void forward(String node, WireRolloutMessage message) {
        HopLink link = mDirectory.link(node);
        if (link != null && link.up()) {
            link.send(HopFrame.rollout(message));
            return;
        }
        NodeRecord record = mDirectory.table().record(node);
        if (record == null || message.isRelayed()) {
            return;
        }
        for (HopLink relay : mDirectory.linksUp()) {
            NodeRecord other = mDirectory.table().record(relay.node());
            if (other != null && other.dataCentre().equals(record.dataCentre())) {
                relay.send(HopFrame.rollout(new WireRolloutMessage(message).setRelayed(true)));
                return;
            }
        }
    }

    private List<String> candidates(String service) {
        List<NodeId> withStore = new ArrayList<>();
        List<NodeId> all = new ArrayList<>();
        for (NodeRecord record : mDirectory.table().records()) {
            HopLink link = mDirectory.link(record.node());
            boolean down = link != null && !link.up();
            if (!record.leaving() && !down) {
                NodeId id = NodeId.fromString(record.node());
                all.add(id);
                if (record.storeReachable()) {
                    withStore.add(id);
                }
            }
        }
        return Rendezvous.rank(service, withStore.isEmpty() ? all : withStore).stream()
                .map(NodeId::name)
                .toList();
    }

    /** Returns the versions that a call may be sent to; null if all servers may serve it. */
    public @Nullable CallVersions begin(String service, String route) {
        ServiceRollout rollout = rollout(service);
        if (rollout.active()) {
            rollout.counter().request();
        }
        VersionRouter.Permit permit = rollout.permit();
        return permit == null ? null : rollout.choose(permit, route, nowMillis());
    }

    /** Counts a request that is sent to an endpoint; null if no roll-out is under way. */
    public EvidenceCounter.@Nullable Observation sent(
            EndpointState endpoint, String service, String route) {
        ServiceRollout rollout = rollout(service);
        BackendRecord backend = endpoint.record().backend();
        if (backend == null || !rollout.active()) {
            return null;
        }
        boolean target = rollout.isTarget(backend.version());
        if (target) {
            mExposed.inc();
        }
        boolean cold = endpoint.warming(System.nanoTime());
        return rollout.counter().sent(endpoint.node(), route, target, cold, nowMillis());
    }

    /** Returns whether a version of a service was rolled back. */
    public boolean rejects(String service, String version) {
        ServiceRollout rollout = mServices.get(service);
        return rollout != null && rollout.rejects(version);
    }

    private void updateGate() {
        BackendRecord own = mDirectory.self().backend();
        boolean rejected = own != null && rejects(own.service(), own.version());
        if (rejected != mOwnBackendRejected) {
            mOwnBackendRejected = rejected;
            mOwnBackendGate.accept(rejected);
        }
    }

    private ServiceRollout rollout(String service) {
        return mServices.computeIfAbsent(
                service,
                name ->
                        new ServiceRollout(
                                name,
                                self(),
                                mDirectory.self().incarnation(),
                                mDirectory.table(),
                                mBudget,
                                mRandom.split(),
                                nowMillis()));
    }

    private void broadcast(WireRolloutMessage message) {
        if (message.isSetCoordinator()) {
            message.setCoordinator(self());
        }
        mDirectory.broadcast(HopFrame.rollout(message));
    }

    private static WireRolloutMessage ordersMessage(List<RolloutOrder> orders) {
        return new WireRolloutMessage(nowMillis())
                .setOrders(orders.stream().map(RolloutWire::toWire).toList());
    }

    private String self() {
        return mDirectory.self().node();
    }

    static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
