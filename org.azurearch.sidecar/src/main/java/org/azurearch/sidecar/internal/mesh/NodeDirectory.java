package org.azurearch.sidecar.internal.mesh;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.azurearch.events.EventLog;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.NodeId;
import org.azurearch.member.Rendezvous;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.SidecarSettings;
import org.azurearch.sidecar.internal.hop.HopConnection;
import org.azurearch.sidecar.internal.hop.HopLink;
import org.azurearch.sidecar.internal.hop.HopNetwork;
import org.azurearch.sidecar.internal.hop.HopWire;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.NodeRecord;
import org.azurearch.sidecar.member.NodeTable;
import org.azurearch.sidecar.route.EndpointLoad;
import org.azurearch.sidecar.route.EndpointState;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WireNodeRecord;
import org.azurearch.thrift.WireNodeRecords;
import org.jspecify.annotations.Nullable;

/** The nodes that this one knows, with a link to each. Confined to one event loop. */
public final class NodeDirectory implements HopLink.Owner {
    /**
     * Up to this size a node tells all others itself; beyond, relays of a data centre pass it on.
     */
    private static final int DIRECT_NODES = 64;

    /** Relays of a data centre; two, so that one may be gone. */
    private static final int RELAYS = 2;

    /** A node that has not been reached for this long is forgotten: 10 minutes. */
    private static final long FORGET_NANOS = 600_000_000_000L;

    /** A record that changed this long ago has reached all nodes that can be reached: 4 s. */
    private static final long RECENT_NANOS = 4_000_000_000L;

    /** Takes frames that do not concern node records. */
    public interface FrameHandler {
        /** A frame has arrived. */
        void received(HopConnection connection, HopFrame frame);

        /** A link to another node is up. */
        void linkUp(HopLink link);

        /** A record of an earlier run of this node has come back. */
        void remembered(NodeRecord earlier);
    }

    private final EventLoop mLoop;
    private final HopNetwork mNetwork;
    private final NodeTable mTable;
    private final Map<String, HopLink> mLinks = new HashMap<>();
    private final Map<String, EndpointState> mEndpoints = new HashMap<>();
    private final FrameHandler mHandler;

    /** Kept until a record or a link changes, as the order is asked for several times a second. */
    private final Map<String, List<String>> mOrders = new HashMap<>();

    /** Kept in the same way, as each call asks for it; 0 when it has to be counted again. */
    private int mReachable;

    private NodeRecord mSelf;

    /**
     * Creates a directory that holds this node only.
     *
     * @param loop the event loop of the node
     * @param network opens connections
     * @param settings the settings of this node
     * @param peers where other nodes reach this one
     * @param incarnation the incarnation to begin with
     * @param handler takes frames of other kinds
     */
    public NodeDirectory(
            EventLoop loop,
            HopNetwork network,
            SidecarSettings settings,
            NetAddress peers,
            long incarnation,
            FrameHandler handler) {
        mLoop = loop;
        mNetwork = network;
        mHandler = handler;
        mTable = new NodeTable(settings.node());
        mSelf =
                new NodeRecord(
                        settings.node(),
                        settings.dataCentre(),
                        peers,
                        incarnation,
                        0,
                        false,
                        true,
                        null);
        adopt(mSelf);
    }

    /** Returns the record of this node. */
    public NodeRecord self() {
        return mSelf;
    }

    /** Returns what is known of the nodes. */
    public NodeTable table() {
        return mTable;
    }

    /** Returns all endpoints, that of this node included. */
    public Collection<EndpointState> endpoints() {
        return mEndpoints.values();
    }

    /** Returns the endpoint of this node. */
    public EndpointState own() {
        EndpointState own = mEndpoints.get(mSelf.node());
        if (own == null) {
            throw new IllegalStateException("this node has no endpoint");
        }
        return own;
    }

    /** Returns the link to a node, or null. */
    public @Nullable HopLink link(String node) {
        return mLinks.get(node);
    }

    /** Returns the links that are up. */
    public List<HopLink> linksUp() {
        List<HopLink> up = new ArrayList<>(mLinks.values());
        up.removeIf(link -> !link.up());
        return up;
    }

    /** Returns the number of nodes that can be reached, this one included. */
    public int reachable() {
        if (mReachable == 0) {
            mReachable = 1 + linksUp().size();
        }
        return mReachable;
    }

    /** Changes the record of this node and tells the others. */
    public void publish(UnaryOperator<NodeRecord> change) {
        NodeRecord changed = change.apply(mSelf);
        mSelf = changed.withVersion(mSelf.incarnation(), mSelf.sequence() + 1);
        adopt(mSelf);
        spread(List.of(mSelf));
    }

    /** Takes the backend server behind this node into its record. */
    public void publishBackend(@Nullable BackendRecord backend) {
        publish(self -> self.withBackend(backend));
    }

    /** Says that this node is stopping. */
    public void publishLeaving() {
        publish(NodeRecord::asLeaving);
    }

    /** Says whether this node reaches the platform's store. */
    public void publishStore(boolean reachable) {
        if (mSelf.storeReachable() == reachable) {
            return;
        }
        publish(self -> self.withStoreReachable(reachable));
    }

    /** Takes a record and says whether it is news. */
    public boolean merge(NodeRecord record) {
        if (record.node().equals(mSelf.node())) {
            outrank(record);
            if (record.incarnation() < mSelf.incarnation()) {
                mHandler.remembered(record);
            }
            return false;
        }
        if (!mTable.merge(record, System.nanoTime())) {
            return false;
        }
        viewChanged();
        BackendRecord backend = record.backend();
        EventLog.log(
                SidecarEvent.MEMBER,
                record.node(),
                record.dataCentre(),
                record.incarnation(),
                record.leaving(),
                backend == null ? "none" : backend.instance(),
                backend != null && backend.ready());
        endpoint(record).record(record, System.nanoTime());
        linkTo(record);
        return true;
    }

    /** Takes records that another node sent and passes on what is news. */
    public void merge(WireNodeRecords records) {
        List<NodeRecord> news = new ArrayList<>();
        for (WireNodeRecord wire : records.getRecords()) {
            NodeRecord record = HopWire.fromWire(wire);
            if (merge(record)) {
                news.add(record);
            }
        }
        if (!news.isEmpty() && !records.isRelayed() && large() && relays(own().record())) {
            HopFrame frame = frame(news, true);
            localLinks().forEach(link -> link.send(frame));
        }
    }

    /**
     * Sends another node what it may lack: what changed of late, or all records where that does not
     * explain the difference.
     *
     * @param connection leads to the other node
     * @param members how many nodes it knows
     */
    public void sendMissing(HopConnection connection, int members) {
        List<NodeRecord> recent = mTable.changedSince(System.nanoTime() - RECENT_NANOS);
        boolean explained = !recent.isEmpty() && members >= mTable.records().size() - recent.size();
        List<NodeRecord> sent = explained ? recent : new ArrayList<>(mTable.records());
        connection.send(frame(sent, true));
    }

    /** Answers a hello: with this node's record, and with that of another run of the sender. */
    public void hello(HopConnection connection, WireNodeRecord hello) {
        NodeRecord record = HopWire.fromWire(hello);
        NodeRecord known = mTable.record(record.node());
        merge(record);
        List<NodeRecord> reply = new ArrayList<>(List.of(mSelf));
        if (known != null && known.incarnation() != record.incarnation()) {
            reply.add(known);
        }
        connection.send(frame(reply, true));
        HopLink link = mLinks.get(record.node());
        if (link != null) {
            link.nudge();
        }
    }

    /** Looks after the links; called a few times a second. */
    public void tick(long nowNanos) {
        for (HopLink link : List.copyOf(mLinks.values())) {
            link.tick(nowNanos);
            if (link.downNanos(nowNanos) > FORGET_NANOS) {
                link.close();
                mLinks.remove(link.node());
                mEndpoints.remove(link.node());
                mTable.remove(link.node());
                viewChanged();
            }
        }
    }

    /** Connects to a node of which only the address is known. */
    public void seed(NetAddress address) {
        boolean known = address.equals(mSelf.address());
        for (HopLink link : mLinks.values()) {
            known |= link.address().equals(address);
        }
        if (!known) {
            String name = "seed " + address;
            mLinks.put(name, new HopLink(mNetwork, mLoop, name, address, this));
        }
    }

    /** Closes all links. */
    public void close() {
        mLinks.values().forEach(HopLink::close);
    }

    @Override
    public void usable(HopLink link, boolean usable) {
        EventLog.log(SidecarEvent.LINK, link.node(), usable);
        EndpointState endpoint = mEndpoints.get(link.node());
        if (endpoint != null) {
            endpoint.connected(usable);
        }
    }

    @Override
    public void connected(HopLink link, boolean up) {
        viewChanged();
        usable(link, up);
        if (up) {
            link.send(HopFrame.hello(HopWire.toWire(mSelf)));
            mHandler.linkUp(link);
        }
    }

    @Override
    public void received(HopConnection connection, HopFrame frame) {
        mHandler.received(connection, frame);
    }

    @Override
    public void load(HopLink link, EndpointLoad load) {
        EndpointState endpoint = mEndpoints.get(link.node());
        if (endpoint != null) {
            endpoint.observeLoad(load, System.nanoTime());
        }
    }

    /** Returns the links to nodes of this data centre. */
    public List<HopLink> localLinks() {
        List<HopLink> local = new ArrayList<>();
        for (HopLink link : mLinks.values()) {
            NodeRecord record = mTable.record(link.node());
            if (record != null && record.dataCentre().equals(mSelf.dataCentre())) {
                local.add(link);
            }
        }
        return local;
    }

    /** Returns the links to the relays of the other data centres. */
    public List<HopLink> remoteRelays() {
        List<HopLink> relays = new ArrayList<>();
        for (HopLink link : linksUp()) {
            NodeRecord record = mTable.record(link.node());
            boolean remote = record != null && !record.dataCentre().equals(mSelf.dataCentre());
            if (remote && record != null && relays(record)) {
                relays.add(link);
            }
        }
        return relays;
    }

    /** Returns the rank of a node among those of its data centre that can be reached. */
    int rank(NodeRecord node, boolean withStore) {
        int at = order(node.dataCentre(), withStore).indexOf(node.node());
        return at < 0 ? Integer.MAX_VALUE : at;
    }

    /**
     * Returns the links to the nodes to which this one passes on what is new.
     *
     * @param readers how many nodes of the data centre read the store
     */
    List<HopLink> children(int readers) {
        List<String> withStore = order(mSelf.dataCentre(), true);
        List<String> roots = withStore.subList(0, Math.min(readers, withStore.size()));
        List<HopLink> links = new ArrayList<>();
        for (String child :
                PushTree.children(mSelf.node(), roots, order(mSelf.dataCentre(), false))) {
            HopLink link = mLinks.get(child);
            if (link != null && link.up()) {
                links.add(link);
            }
        }
        return links;
    }

    /**
     * Returns the links to nodes with which this one compares its state: those of its own data
     * centre, and for relays the relays of the others, as bytes between them are dear.
     */
    List<HopLink> comparable() {
        List<HopLink> links = localLinks();
        links.removeIf(link -> !link.up());
        if (links.isEmpty() || relays(mSelf)) {
            links.addAll(remoteRelays());
        }
        return links.isEmpty() ? linksUp() : links;
    }

    /** Names of the nodes of a data centre that can be reached, the same at all that see them. */
    private List<String> order(String dataCentre, boolean withStore) {
        return mOrders.computeIfAbsent(
                dataCentre + "/" + withStore, key -> computeOrder(dataCentre, withStore));
    }

    private List<String> computeOrder(String dataCentre, boolean withStore) {
        List<NodeId> nodes = new ArrayList<>();
        for (NodeRecord record : mTable.records()) {
            boolean same = record.dataCentre().equals(dataCentre);
            boolean usable = !record.leaving() && (!withStore || record.storeReachable());
            if (same && usable && (record.node().equals(mSelf.node()) || up(record.node()))) {
                nodes.add(NodeId.fromString(record.node()));
            }
        }
        return Rendezvous.rank(dataCentre, nodes).stream().map(NodeId::name).toList();
    }

    private void viewChanged() {
        mOrders.clear();
        mReachable = 0;
    }

    private boolean relays(NodeRecord record) {
        return rank(record, false) < RELAYS;
    }

    private boolean large() {
        return mTable.records().size() > DIRECT_NODES;
    }

    private boolean up(String node) {
        HopLink link = mLinks.get(node);
        return link != null && link.up();
    }

    private void spread(List<NodeRecord> records) {
        HopFrame frame = frame(records, false);
        List<HopLink> targets = linksUp();
        if (large()) {
            targets = localLinks();
            targets.addAll(remoteRelays());
        }
        targets.forEach(link -> link.send(frame));
    }

    /** Where others know a later record of this node, goes beyond it. */
    private void outrank(NodeRecord record) {
        if (record.newerThan(mSelf)) {
            mSelf = mSelf.withVersion(record.incarnation() + 1, 0);
            publish(self -> self);
        }
    }

    private void adopt(NodeRecord self) {
        mTable.merge(self, System.nanoTime());
        viewChanged();
        EndpointState own = endpoint(self);
        own.record(self, System.nanoTime());
        own.connected(true);
    }

    private EndpointState endpoint(NodeRecord record) {
        boolean local = record.dataCentre().equals(mSelf.dataCentre());
        return mEndpoints.computeIfAbsent(record.node(), node -> new EndpointState(record, local));
    }

    private void linkTo(NodeRecord record) {
        HopLink link = mLinks.get(record.node());
        if (link != null && link.address().equals(record.address())) {
            return;
        }
        viewChanged();
        if (link != null) {
            link.close();
        }
        HopLink seed = mLinks.remove("seed " + record.address());
        if (seed != null) {
            seed.close();
        }
        endpoint(record).connected(false);
        mLinks.put(
                record.node(), new HopLink(mNetwork, mLoop, record.node(), record.address(), this));
    }

    private static HopFrame frame(List<NodeRecord> records, boolean relayed) {
        List<WireNodeRecord> wire = new ArrayList<>();
        records.forEach(record -> wire.add(HopWire.toWire(record)));
        return HopFrame.records(new WireNodeRecords(wire, relayed));
    }
}
