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
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.SidecarSettings;
import org.azurearch.sidecar.admit.LinkLoad;
import org.azurearch.sidecar.internal.hop.HopConnection;
import org.azurearch.sidecar.internal.hop.HopLink;
import org.azurearch.sidecar.internal.hop.HopNetwork;
import org.azurearch.sidecar.internal.hop.HopWire;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.NodeRecord;
import org.azurearch.sidecar.member.NodeTable;
import org.azurearch.sidecar.member.ShareHolders;
import org.azurearch.sidecar.route.EndpointLoad;
import org.azurearch.sidecar.route.EndpointState;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WireNodeRecord;
import org.azurearch.thrift.WireNodeRecords;
import org.jspecify.annotations.Nullable;

/** The known nodes and the links to those that this node needs. Confined to one event loop. */
public final class NodeDirectory implements HopLink.Listener {
    /** Time after which an unreachable node is removed: 10 minutes. */
    private static final long FORGET_NANOS = 600_000_000_000L;

    /** Receives the frames and events of all links. */
    public interface Listener {
        /** Called for each frame that does not belong to a call. */
        void received(HopConnection connection, HopFrame frame);

        /** Called when a link to a peer comes up. */
        void linkUp(HopLink link);

        /**
         * Called with a record of an earlier run of this node that a peer or the store returned.
         */
        void earlierRecordFound(NodeRecord earlier);
    }

    private final NodeTable mTable;
    private final ShareHolders mShareHolders;
    private final NodeLinks mLinks;
    private final Map<String, EndpointState> mEndpoints = new HashMap<>();
    private final Listener mListener;

    private final NodeOrder mOrder;

    /** Cached until a record or a link changes; 0 if it has to be counted again. */
    private int mReachable;

    private NodeRecord mSelf;

    /**
     * Creates a directory that contains only this node.
     *
     * @param loop the event loop of the node
     * @param network opens connections
     * @param settings the settings of this node
     * @param peers the address at which peers reach this node
     * @param incarnation the first incarnation of this run
     * @param listener receives the frames and events of all links
     */
    public NodeDirectory(
            EventLoop loop,
            HopNetwork network,
            SidecarSettings settings,
            NetAddress peers,
            long incarnation,
            Listener listener) {
        mListener = listener;
        mTable = new NodeTable(settings.node());
        mShareHolders = new ShareHolders(mTable, settings.node(), settings.graceMillis());
        mOrder = new NodeOrder(mTable, settings.node(), this::up);
        mLinks = new NodeLinks(loop, network, mTable, settings.node(), this, this::linkDropped);
        mSelf =
                new NodeRecord(
                        settings.node(),
                        settings.dataCentre(),
                        peers,
                        incarnation,
                        0,
                        false,
                        true,
                        null,
                        new LinkLoad(settings.features().linkMbps()).mbps());
        storeOwnRecord(mSelf);
    }

    /** Returns the record of this node. */
    public NodeRecord self() {
        return mSelf;
    }

    /** Returns the table of node records. */
    public NodeTable table() {
        return mTable;
    }

    /** Returns which nodes hold a share of what all nodes divide among them. */
    public ShareHolders shareHolders() {
        return mShareHolders;
    }

    /** Returns all endpoints, including that of this node. */
    public Collection<EndpointState> endpoints() {
        return mEndpoints.values();
    }

    /** Returns the endpoint of this node. */
    public EndpointState ownEndpoint() {
        EndpointState ownEndpoint = mEndpoints.get(mSelf.node());
        if (ownEndpoint == null) {
            throw new IllegalStateException("this node has no endpoint");
        }
        return ownEndpoint;
    }

    /** Returns the link to a node, or null if there is none. */
    public @Nullable HopLink link(String node) {
        return mLinks.get(node);
    }

    /** Returns the links that are up. */
    public List<HopLink> linksUp() {
        return mLinks.up();
    }

    /** Returns the number of reachable nodes, including this one. */
    public int reachable() {
        if (mReachable == 0) {
            mReachable = 1;
            for (NodeRecord record : mTable.records()) {
                mReachable += countsAsReachable(record) ? 1 : 0;
            }
        }
        return mReachable;
    }

    /** A node without a link counts unless it is leaving, as its own data centre watches it. */
    private boolean countsAsReachable(NodeRecord record) {
        HopLink link = mLinks.get(record.node());
        boolean reachable = link == null ? !record.leaving() : link.up();
        return reachable && !record.node().equals(mSelf.node());
    }

    /** Records that this data centre is short of room for a service, so that others are called. */
    public void demandRemote(String service) {
        mLinks.demand(service);
    }

    /** Changes the record of this node and sends it to its peers. */
    public void publish(UnaryOperator<NodeRecord> change) {
        NodeRecord changed = change.apply(mSelf);
        mSelf = changed.withVersion(mSelf.incarnation(), mSelf.sequence() + 1);
        storeOwnRecord(mSelf);
        broadcast(List.of(mSelf));
    }

    /** Publishes the backend server behind this node, or null if there is none. */
    public void publishBackend(@Nullable BackendRecord backend) {
        publish(self -> self.withBackend(backend));
    }

    /** Publishes that this node is leaving. */
    public void publishLeaving() {
        publish(NodeRecord::asLeaving);
    }

    /** Publishes whether this node can reach the platform's store. */
    public void publishStoreReachable(boolean reachable) {
        if (mSelf.storeReachable() == reachable) {
            return;
        }
        publish(self -> self.withStoreReachable(reachable));
    }

    /** Merges a record and returns whether it was newer than the known one. */
    public boolean merge(NodeRecord record) {
        if (record.node().equals(mSelf.node())) {
            supersede(record);
            if (record.incarnation() < mSelf.incarnation()) {
                mListener.earlierRecordFound(record);
            }
            return false;
        }
        if (!mTable.merge(record, System.nanoTime())) {
            return false;
        }
        invalidateCaches();
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
        mLinks.recordChanged(record);
        return true;
    }

    /** Merges the records of a peer that can be read and, as a relay, forwards the newer ones. */
    public void merge(WireNodeRecords records) {
        List<NodeRecord> newer = new ArrayList<>();
        for (WireNodeRecord wire : records.getRecords()) {
            NodeRecord record = HopWire.fromWireOrNull(wire);
            if (record != null && merge(record)) {
                newer.add(record);
            }
        }
        if (!newer.isEmpty() && !records.isRelayed()) {
            relay(HopWire.frame(newer, true));
        }
    }

    /** Forwards a frame in this data centre if this node is a relay of a large mesh. */
    public void relay(HopFrame frame) {
        if (usesRelays() && isRelay(ownEndpoint().record())) {
            localLinks().forEach(link -> link.send(frame));
        }
    }

    /**
     * Sends a peer the records that it may lack: the recent changes, or all records if those do not
     * explain the difference.
     *
     * @param connection the connection to the peer
     * @param members the number of nodes that the peer knows
     */
    public void sendMissing(HopConnection connection, int members) {
        connection.send(HopWire.frame(mTable.missing(members, System.nanoTime()), true));
    }

    /**
     * Replies to a hello with this node's record, a newer one of the sender and the last one with a
     * backend server of its earlier runs, if known. This node may have learned of the present run
     * before, over its own link or from others.
     */
    public void handleHello(HopConnection connection, WireNodeRecord hello) {
        NodeRecord record = HopWire.fromWire(hello);
        merge(record);
        List<NodeRecord> reply = new ArrayList<>(List.of(mSelf));
        NodeRecord newest = mTable.record(record.node());
        if (newest != null && newest.incarnation() > record.incarnation()) {
            reply.add(newest);
        }
        NodeRecord earlier = mTable.earlierRun(record.node());
        if (earlier != null) {
            reply.add(earlier);
        }
        connection.send(HopWire.frame(reply, true));
        HopLink link = mLinks.get(record.node());
        if (link != null) {
            link.reconnectNow();
        }
    }

    /** Checks the links and removes nodes that are gone; called a few times a second. */
    public void tick(long nowNanos) {
        for (HopLink link : mLinks.all()) {
            link.tick(nowNanos);
            if (link.downNanos(nowNanos) > FORGET_NANOS) {
                declareGone(link);
            }
        }
        if (mLinks.updateDue(nowNanos)) {
            mTable.leavingSince(nowNanos - FORGET_NANOS).forEach(this::forget);
            mLinks.update();
        }
    }

    /**
     * Records for a peer that it is leaving, as it has been unreachable for too long. Only nodes of
     * its data centre do so, which all link to it. A peer that is cut off supersedes the record
     * when it is back.
     */
    private void declareGone(HopLink link) {
        NodeRecord record = mTable.record(link.node());
        if (record == null) {
            mLinks.drop(link);
        } else if (!record.leaving() && record.dataCentre().equals(mSelf.dataCentre())) {
            NodeRecord gone =
                    record.asLeaving().withVersion(record.incarnation(), record.sequence() + 1);
            if (merge(gone)) {
                broadcast(List.of(gone));
            }
        }
    }

    private void forget(NodeRecord record) {
        HopLink link = mLinks.get(record.node());
        if (link != null && link.up()) {
            return;
        }
        if (link != null) {
            mLinks.drop(link);
        }
        mEndpoints.remove(record.node());
        mTable.remove(record.node());
        mLinks.recordsChanged();
        invalidateCaches();
    }

    /** Connects to a node of which only the address is known, unless a link to it exists. */
    public void seed(NetAddress address) {
        if (!address.equals(mSelf.address())) {
            mLinks.seed(address);
        }
    }

    /** Closes all links. */
    public void close() {
        mLinks.close();
    }

    @Override
    public void usabilityChanged(HopLink link, boolean usable) {
        if (!mLinks.contains(link)) {
            return; // dropped, and perhaps opened again since
        }
        EventLog.log(SidecarEvent.LINK, link.node(), usable);
        EndpointState endpoint = mEndpoints.get(link.node());
        if (endpoint != null) {
            endpoint.setConnected(usable);
        }
    }

    @Override
    public void connected(HopLink link) {
        link.send(HopFrame.hello(HopWire.toWire(mSelf)));
    }

    @Override
    public void connectionChanged(HopLink link, boolean up) {
        invalidateCaches();
        usabilityChanged(link, up);
        if (up) {
            mListener.linkUp(link);
        }
    }

    @Override
    public void received(HopConnection connection, HopFrame frame) {
        mListener.received(connection, frame);
    }

    @Override
    public void loadReported(HopLink link, EndpointLoad load) {
        EndpointState endpoint = mEndpoints.get(link.node());
        if (endpoint != null) {
            endpoint.observeLoad(load, System.nanoTime());
        }
    }

    /** Returns the links to nodes of this data centre. */
    public List<HopLink> localLinks() {
        List<HopLink> local = new ArrayList<>();
        for (HopLink link : mLinks.all()) {
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
            if (remote && record != null && isRelay(record)) {
                relays.add(link);
            }
        }
        return relays;
    }

    /** Returns the order of the reachable nodes. */
    NodeOrder order() {
        return mOrder;
    }

    /**
     * Returns the index of a node among the reachable ones of its data centre, or {@link
     * Integer#MAX_VALUE}.
     *
     * @param node the node
     * @param withStore whether to count only nodes that reach the platform's store
     */
    int rank(NodeRecord node, boolean withStore) {
        int at = mOrder.nodes(node.dataCentre(), withStore).indexOf(node.node());
        return at < 0 ? Integer.MAX_VALUE : at;
    }

    /**
     * Returns the links to the nodes to which this node pushes configurations.
     *
     * @param readers the number of readers in the data centre
     */
    List<HopLink> children(int readers) {
        return mLinks.up(mOrder.children(mSelf.dataCentre(), readers));
    }

    /**
     * Returns the links to the other readers of the data centre.
     *
     * @param readers the number of readers in the data centre
     */
    List<HopLink> readerLinks(int readers) {
        return mLinks.up(mOrder.readers(mSelf.dataCentre(), readers));
    }

    /**
     * Returns the links for anti-entropy: those within the data centre and, for relays, those to
     * the relays of the other data centres, as traffic between data centres is expensive.
     */
    List<HopLink> antiEntropyLinks() {
        List<HopLink> links = localLinks();
        links.removeIf(link -> !link.up());
        if (links.isEmpty() || isRelay(mSelf)) {
            links.addAll(remoteRelays());
        }
        return links.isEmpty() ? linksUp() : links;
    }

    private void invalidateCaches() {
        mOrder.clear();
        mReachable = 0;
    }

    private boolean isRelay(NodeRecord record) {
        return rank(record, false) < LinkPlan.RELAYS;
    }

    private boolean usesRelays() {
        return mTable.records().size() > LinkPlan.MAX_DIRECT_NODES;
    }

    private boolean up(String node) {
        HopLink link = mLinks.get(node);
        return link != null && link.up();
    }

    private void broadcast(List<NodeRecord> records) {
        broadcast(HopWire.frame(records, false));
    }

    /** Sends a frame to all peers, in a large mesh by way of the relays of other data centres. */
    public void broadcast(HopFrame frame) {
        List<HopLink> targets = linksUp();
        if (usesRelays()) {
            targets = localLinks();
            targets.addAll(remoteRelays());
        }
        targets.forEach(link -> link.send(frame));
    }

    /** Publishes a higher incarnation if a peer or the store has a newer record of this node. */
    private void supersede(NodeRecord record) {
        if (record.newerThan(mSelf)) {
            mSelf = mSelf.withVersion(record.incarnation() + 1, 0);
            publish(self -> self);
        }
    }

    private void storeOwnRecord(NodeRecord self) {
        mTable.merge(self, System.nanoTime());
        mLinks.recordsChanged();
        invalidateCaches();
        EndpointState ownEndpoint = endpoint(self);
        ownEndpoint.record(self, System.nanoTime());
        ownEndpoint.setConnected(true);
    }

    private EndpointState endpoint(NodeRecord record) {
        boolean local = record.dataCentre().equals(mSelf.dataCentre());
        return mEndpoints.computeIfAbsent(record.node(), node -> new EndpointState(record, local));
    }

    private void linkDropped(String node) {
        EndpointState endpoint = mEndpoints.get(node);
        if (endpoint != null) {
            endpoint.setConnected(false);
        }
        invalidateCaches();
    }
}
