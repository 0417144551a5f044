package org.azurearch.sidecar.internal.mesh;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.internal.hop.HopLink;
import org.azurearch.sidecar.internal.hop.HopNetwork;
import org.azurearch.sidecar.internal.quota.CoordinatorChoice;
import org.azurearch.sidecar.member.NodeRecord;
import org.azurearch.sidecar.member.NodeTable;
import org.jspecify.annotations.Nullable;

/**
 * The links of this node: opens those that {@link LinkPlan} wants and closes those that it has not
 * wanted for a while. Confined to one event loop.
 */
final class NodeLinks {
    /** Time without a connection after which another node is linked to in place of a peer. */
    private static final long FAILED_NANOS = 1_000_000_000L;

    /** Time after which a link or a demand that is not needed any more is dropped: 10 seconds. */
    private static final long UNUSED_NANOS = 10_000_000_000L;

    /** Longest time between two updates, within which a failed peer is replaced. */
    private static final long UPDATE_NANOS = 1_000_000_000L;

    private static final String SEED_PREFIX = "seed ";

    private final EventLoop mLoop;
    private final HopNetwork mNetwork;
    private final NodeTable mTable;
    private final String mSelf;
    private final HopLink.Listener mListener;
    private final Consumer<String> mUnlinkedListener;
    private final LinkPlan mPlan = new LinkPlan();
    private final Map<String, HopLink> mLinks = new HashMap<>();
    private final Map<String, Long> mDemandNanos = new HashMap<>();
    private final Map<String, Long> mWantedNanos = new HashMap<>();
    private boolean mUpdateScheduled;
    private boolean mClosed;
    private long mUpdatedNanos;

    /**
     * Creates the links of a node; there are none yet.
     *
     * @param loop the event loop of the node
     * @param network opens connections
     * @param table the records of all nodes
     * @param self the name of this node
     * @param listener receives the events of all links
     * @param unlinkedListener receives the name of a node to which no link is up, as it is being
     *     opened or was dropped
     */
    NodeLinks(
            EventLoop loop,
            HopNetwork network,
            NodeTable table,
            String self,
            HopLink.Listener listener,
            Consumer<String> unlinkedListener) {
        mLoop = loop;
        mNetwork = network;
        mTable = table;
        mSelf = self;
        mListener = listener;
        mUnlinkedListener = unlinkedListener;
    }

    /** Returns the link to a node, or null if there is none. */
    @Nullable HopLink get(String node) {
        return mLinks.get(node);
    }

    /** Returns whether a link is in use; a dropped one may still report events. */
    boolean contains(HopLink link) {
        return mLinks.get(link.node()) == link;
    }

    /** Returns all links. */
    List<HopLink> all() {
        return List.copyOf(mLinks.values());
    }

    /** Returns the links that are up. */
    List<HopLink> up() {
        List<HopLink> up = new ArrayList<>(mLinks.values());
        up.removeIf(link -> !link.up());
        return up;
    }

    /** Returns the links to some nodes that are up. */
    List<HopLink> up(Collection<String> nodes) {
        List<HopLink> up = new ArrayList<>();
        for (String node : nodes) {
            HopLink link = mLinks.get(node);
            if (link != null && link.up()) {
                up.add(link);
            }
        }
        return up;
    }

    /** Connects to a node of which only the address is known, unless a link to it exists. */
    void seed(NetAddress address) {
        for (HopLink link : mLinks.values()) {
            if (link.address().equals(address)) {
                return;
            }
        }
        String name = SEED_PREFIX + address;
        mLinks.put(name, new HopLink(mNetwork, mLoop, name, false, address, mListener));
    }

    /** Records that the own data centre is short of room for a service. */
    void demand(String service) {
        if (mDemandNanos.put(service, System.nanoTime()) == null) {
            scheduleUpdate();
        }
    }

    /** Drops what was derived from records, as one of them has changed. */
    void recordsChanged() {
        mPlan.recordsChanged();
    }

    /** Adapts the links to a newer record of another node. */
    void recordChanged(NodeRecord record) {
        mPlan.recordsChanged();
        HopLink link = mLinks.get(record.node());
        if (link != null && !link.address().equals(record.address())) {
            drop(link);
        }
        HopLink seed = mLinks.remove(SEED_PREFIX + record.address());
        if (seed != null) {
            seed.close();
        }
        scheduleUpdate();
    }

    /** Returns whether the links have not been updated for a while. */
    boolean updateDue(long nowNanos) {
        return nowNanos - mUpdatedNanos > UPDATE_NANOS;
    }

    /** Opens the links that are wanted and closes those that have not been for a while. */
    void update() {
        mUpdateScheduled = false;
        NodeRecord self = mTable.record(mSelf);
        if (mClosed || self == null) {
            return;
        }
        long now = System.nanoTime();
        mUpdatedNanos = now;
        mDemandNanos.values().removeIf(demanded -> now - demanded > UNUSED_NANOS);
        long wallMillis = System.currentTimeMillis();
        Set<String> wanted =
                mPlan.wanted(
                        self,
                        mTable.records(),
                        mDemandNanos.keySet(),
                        this::failed,
                        record -> CoordinatorChoice.settled(wallMillis - record.incarnation()));
        for (String node : wanted) {
            mWantedNanos.put(node, now);
            NodeRecord record = mTable.record(node);
            if (record != null && !mLinks.containsKey(node)) {
                open(record);
            }
        }
        closeUnused(now);
    }

    /** Closes a link permanently. */
    void drop(HopLink link) {
        mLinks.remove(link.node());
        mWantedNanos.remove(link.node());
        link.close();
        mUnlinkedListener.accept(link.node());
    }

    /** Closes all links. */
    void close() {
        mClosed = true;
        mLinks.values().forEach(HopLink::close);
    }

    private void closeUnused(long nowNanos) {
        for (HopLink link : all()) {
            boolean known = mTable.record(link.node()) != null;
            Long wanted = mWantedNanos.get(link.node());
            boolean unused = wanted == null || nowNanos - wanted > UNUSED_NANOS;
            if (known && unused && !link.busy()) {
                drop(link);
            }
        }
    }

    /** Updates the links once all records of a frame are merged. */
    private void scheduleUpdate() {
        if (!mUpdateScheduled) {
            mUpdateScheduled = true;
            mLoop.execute(this::update);
        }
    }

    private boolean failed(String node) {
        HopLink link = mLinks.get(node);
        return link != null && link.downNanos(System.nanoTime()) > FAILED_NANOS;
    }

    private void open(NodeRecord record) {
        mUnlinkedListener.accept(record.node());
        mLinks.put(
                record.node(),
                new HopLink(mNetwork, mLoop, record.node(), true, record.address(), mListener));
    }
}
