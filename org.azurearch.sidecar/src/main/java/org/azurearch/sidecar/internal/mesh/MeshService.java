package org.azurearch.sidecar.internal.mesh;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.azurearch.events.EventLog;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.SidecarSettings;
import org.azurearch.sidecar.internal.hop.HopConnection;
import org.azurearch.sidecar.internal.hop.HopLink;
import org.azurearch.sidecar.internal.hop.HopNetwork;
import org.azurearch.sidecar.member.NodeRecord;
import org.azurearch.sidecar.store.KeyedLog;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WirePulse;

/**
 * Keeps this node up to date about configuration and members: reads the store in turn for the data
 * centre, passes on what is new and compares with others now and then. Confined to one event loop.
 */
public final class MeshService implements NodeDirectory.FrameHandler {
    /** Links are looked after this often. */
    private static final long TICK_MILLIS = 100;

    /** Each node compares its state with one other this often. */
    private static final long PULSE_MILLIS = 1_000;

    /** Nodes of its data centre that a node greets with its state when it has started. */
    private static final int GREETED = 3;

    private final EventLoop mLoop;
    private final Consumer<NodeRecord> mRemembered;
    private final ConfigKeeper mConfigs;
    private final NodeDirectory mDirectory;
    private final NodeRegistration mRegistration;
    private final ConfigExchange mExchange;
    private final StoreReader mReader;
    private final SplittableRandom mRandom = new SplittableRandom();
    private boolean mReads;
    private int mGreeted;
    private boolean mClosed;

    /**
     * Creates the service and begins to read the store.
     *
     * @param loop the event loop of the node
     * @param settings the settings of this node
     * @param network opens connections to other nodes
     * @param peers where other nodes reach this one
     * @param log the platform's log
     * @param configKey the key of the configuration in its stream
     * @param configs the configuration in force
     * @param remembered takes records of earlier runs of this node
     */
    public MeshService(
            EventLoop loop,
            SidecarSettings settings,
            HopNetwork network,
            NetAddress peers,
            KeyedLog log,
            String configKey,
            ConfigKeeper configs,
            Consumer<NodeRecord> remembered) {
        mRemembered = remembered;
        mLoop = loop;
        mConfigs = configs;
        mDirectory =
                new NodeDirectory(loop, network, settings, peers, System.currentTimeMillis(), this);
        mExchange = new ConfigExchange(loop, configs, mDirectory, settings.configApplyMillis());
        mRegistration = new NodeRegistration(log, loop, mDirectory.self(), mDirectory::merge);
        mRegistration.start();
        mReader = new StoreReader(log, loop, configKey, new FromStore());
        settings.seeds().forEach(mDirectory::seed);
        loop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
        loop.schedule(this::pulse, PULSE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the nodes that this one knows. */
    public NodeDirectory directory() {
        return mDirectory;
    }

    /** Says whether the other nodes have been read from the store or told by one of them. */
    public boolean membersKnown() {
        return mRegistration.complete() || !mDirectory.linksUp().isEmpty();
    }

    /** Keeps the backend server behind this node in the store, for its next run. */
    public void keepBackend() {
        mRegistration.keep(mDirectory.self());
    }

    /** Drops this node from the store, as its VM is going away. */
    public CompletableFuture<Void> unregister() {
        return mRegistration.remove();
    }

    /** Ends all exchange with other nodes. */
    public void close() {
        mClosed = true;
        mReader.close();
        mDirectory.close();
    }

    @Override
    public void linkUp(HopLink link) {
        if (mGreeted < GREETED && mDirectory.localLinks().contains(link)) {
            mGreeted++;
            link.send(pulseFrame(false));
        }
    }

    @Override
    public void remembered(NodeRecord earlier) {
        mRemembered.accept(earlier);
    }

    @Override
    public void received(HopConnection connection, HopFrame frame) {
        switch (frame.getSetField()) {
            case HELLO -> mDirectory.hello(connection, frame.getHello());
            case RECORDS -> mDirectory.merge(frame.getRecords());
            case PULSE -> compare(connection, frame.getPulse());
            case CONFIG -> mExchange.received(connection, frame.getConfig());
            case CONFIG_WANTED -> mExchange.wanted(connection, frame.getConfigWanted());
            default ->
                    EventLog.log(
                            SidecarEvent.HOP_CONNECTION_FAILED,
                            "peer",
                            "frame " + frame.getSetField());
        }
    }

    private void compare(HopConnection connection, WirePulse pulse) {
        if (pulse.getMemberDigest() != mDirectory.table().digest()) {
            mDirectory.sendMissing(connection, pulse.getMembers());
        }
        mExchange.want(connection, pulse.getConfigVersion());
        boolean differs =
                pulse.getMemberDigest() != mDirectory.table().digest()
                        || pulse.getConfigVersion() < mConfigs.version();
        if (!pulse.isReply() && differs) {
            connection.send(pulseFrame(true));
        }
    }

    private void tick() {
        if (mClosed) {
            return;
        }
        mDirectory.tick(System.nanoTime());
        NodeRecord self = mDirectory.self();
        int rank = self.storeReachable() ? mDirectory.rank(self, true) : Integer.MAX_VALUE;
        boolean reads = rank < ConfigExchange.READERS;
        if (reads != mReads) {
            mReads = reads;
            EventLog.log(SidecarEvent.READER, reads, rank);
        }
        mReader.active(reads);
        mLoop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void pulse() {
        if (mClosed) {
            return;
        }
        List<HopLink> partners = mDirectory.comparable();
        if (!partners.isEmpty()) {
            partners.get(mRandom.nextInt(partners.size())).send(pulseFrame(false));
        }
        long jittered = PULSE_MILLIS / 2 + mRandom.nextLong(PULSE_MILLIS);
        mLoop.schedule(this::pulse, jittered, TimeUnit.MILLISECONDS);
    }

    private HopFrame pulseFrame(boolean reply) {
        return HopFrame.pulse(
                new WirePulse(
                        mConfigs.version(),
                        mDirectory.table().digest(),
                        reply,
                        mDirectory.table().records().size()));
    }

    /** What the reader of the store finds. */
    private final class FromStore implements StoreReader.Owner {
        @Override
        public void found(byte[] content) {
            if (mExchange.found(content)) {
                mDirectory.remoteRelays().forEach(link -> link.send(pulseFrame(true)));
            }
        }

        @Override
        public void reachable(boolean reachable) {
            mDirectory.publishStore(reachable);
        }
    }
}
