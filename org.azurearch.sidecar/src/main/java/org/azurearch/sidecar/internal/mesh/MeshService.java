package org.azurearch.sidecar.internal.mesh;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.azurearch.events.EventLog;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.FeatureSettings;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.SidecarSettings;
import org.azurearch.sidecar.internal.PauseDetector;
import org.azurearch.sidecar.internal.hop.HopConnection;
import org.azurearch.sidecar.internal.hop.HopLink;
import org.azurearch.sidecar.internal.hop.HopNetwork;
import org.azurearch.sidecar.internal.hop.HopWire;
import org.azurearch.sidecar.internal.quota.QuotaPeer;
import org.azurearch.sidecar.internal.rollout.RolloutService;
import org.azurearch.sidecar.internal.suspect.PeerLosses;
import org.azurearch.sidecar.internal.suspect.StrikeEntry;
import org.azurearch.sidecar.internal.suspect.SuspectTracker;
import org.azurearch.sidecar.member.NodeRecord;
import org.azurearch.sidecar.member.ShareHolders;
import org.azurearch.sidecar.rollout.RolloutCodec;
import org.azurearch.sidecar.store.KeyedLog;
import org.azurearch.sidecar.store.KeyedRecord;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WireNodeRecords;
import org.azurearch.thrift.WirePulse;
import org.azurearch.thrift.WireSavedStrikes;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the configuration and the membership of this node up to date. Reads the store while this
 * node is a reader of its data centre, forwards changes and runs anti-entropy with peers. Confined
 * to one event loop.
 */
public final class MeshService implements NodeDirectory.Listener, SuspectTracker.Publisher {
    /** Interval at which the links and this node's role as a reader are checked. */
    private static final long TICK_MILLIS = 100;

    /** Number of peers in its data centre to which a node sends a pulse after its start. */
    private static final int STARTUP_PULSES = 3;

    /** Shortest time between two requests to confirm the version in force: 200 ms. */
    private static final long MIN_ASK_NANOS = 200_000_000L;

    private final EventLoop mLoop;
    private final Consumer<NodeRecord> mEarlierRecordConsumer;
    private final ConfigHolder mConfigs;
    private final SuspectTracker mSuspects;
    private final PauseDetector mPauses;
    private final NodeDirectory mDirectory;
    private final NodeRegistration mRegistration;
    private final ConfigExchange mExchange;
    private final PollSchedule mPolls;
    private final StoreReader mReader;
    private final @Nullable RolloutService mRollouts;
    private final PeerLosses.Peers mPeers;
    private final SplittableRandom mRandom = new SplittableRandom();
    private final PulseSchedule mPulses = new PulseSchedule(mRandom);
    private QuotaPeer mQuota = QuotaPeer.NONE;
    private LongConsumer mTickListener = now -> {};
    private boolean mIsReader;
    private boolean mIsDataCentreReader;
    private int mNextReader;
    private long mAskedNanos;
    private boolean mFollowing;
    private boolean mLeaseValid;
    private long mTickNanos;

    /** Whether a peer has said that it knows no more nodes than this one. */
    private boolean mMembersCompared;

    private int mStartupPulsesSent;
    private boolean mClosed;

    /**
     * Creates the service and starts reading the store.
     *
     * @param loop the event loop of the node
     * @param settings the settings of this node
     * @param network opens connections to peers
     * @param peers the address at which peers reach this node
     * @param log the platform's log
     * @param configKey the key of the configuration in its stream
     * @param configs the configuration in force
     * @param suspects the requests under which backend servers crashed
     * @param pauses detects pauses of this process
     * @param earlierRecordConsumer receives records of earlier runs of this node
     * @param rolloutCodec the formats of roll-out orders
     * @param metrics where metrics are registered
     */
    public MeshService(
            EventLoop loop,
            SidecarSettings settings,
            HopNetwork network,
            NetAddress peers,
            KeyedLog log,
            String configKey,
            ConfigHolder configs,
            SuspectTracker suspects,
            PauseDetector pauses,
            Consumer<NodeRecord> earlierRecordConsumer,
            RolloutCodec rolloutCodec,
            MetricRegistry metrics) {
        mSuspects = suspects;
        mPauses = pauses;
        mEarlierRecordConsumer = earlierRecordConsumer;
        mLoop = loop;
        mConfigs = configs;
        mDirectory =
                new NodeDirectory(loop, network, settings, peers, System.currentTimeMillis(), this);
        mPeers = new KnownPeers(mDirectory);
        mExchange = new ConfigExchange(loop, configs, mDirectory, settings.configApplyMillis());
        mRegistration =
                new NodeRegistration(
                        log, loop, mDirectory.self(), mDirectory::merge, this::mergeSaved);
        FeatureSettings.RolloutBound bound = settings.features().rollout();
        mRollouts =
                bound == null
                        ? null
                        : new RolloutService(bound, mDirectory, log, rolloutCodec, metrics);
        suspects.attach(this);
        mRegistration.start();
        mPolls = new PollSchedule(settings.configApplyMillis());
        mReader = new StoreReader(log, loop, mPolls, configKey, new StoreListener());
        settings.seeds().forEach(mDirectory::seed);
        loop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
        loop.schedule(this::pulse, PulseSchedule.MEAN_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the directory of the known nodes. */
    public NodeDirectory directory() {
        return mDirectory;
    }

    /** Returns the roll-outs of new versions; null if the deployment has none. */
    public @Nullable RolloutService rollouts() {
        return mRollouts;
    }

    /** Returns whether the membership has been read from the store or a link to a peer is up. */
    public boolean membersKnown() {
        return mRegistration.complete() || !mDirectory.linksUp().isEmpty();
    }

    /** Returns whether this node reaches a peer, or is registered and knows that there is none. */
    public boolean peersReached() {
        boolean alone = mDirectory.table().records().size() == 1;
        return !mDirectory.linksUp().isEmpty() || (mRegistration.complete() && alone);
    }

    /** Returns whether the members were read from the store some time ago. */
    public boolean membersReadBefore(long nanos) {
        return mRegistration.readBefore(nanos);
    }

    /** Sets what handles messages about quotas. */
    public void attach(QuotaPeer quota) {
        mQuota = quota;
    }

    /** Sets what is called several times a second with the time on the steady clock. */
    public void onTick(LongConsumer listener) {
        mTickListener = listener;
    }

    /** Saves the backend server behind this node in the store, for its next run. */
    public void saveBackend() {
        mRegistration.saveBackend(mDirectory.self());
    }

    /** Removes this node from the store, as its VM is being removed. */
    public CompletableFuture<Void> unregister() {
        return mRegistration.remove();
    }

    /** Stops reading the store and closes all links. */
    public void close() {
        mClosed = true;
        mReader.close();
        mDirectory.close();
    }

    @Override
    public void linkUp(HopLink link) {
        if (mDirectory.localLinks().contains(link)) {
            if (mStartupPulsesSent < STARTUP_PULSES) {
                mStartupPulsesSent++;
                link.send(pulseFrame(false));
            }
            mExchange.repeatChange(link);
        }
        List<StrikeEntry> strikes = mSuspects.entries();
        if (!strikes.isEmpty()) {
            link.send(frame(strikes, true));
        }
        if (mRollouts != null) {
            mRollouts.sendAll(link::send);
        }
    }

    @Override
    public void publish(List<StrikeEntry> changed) {
        mDirectory.broadcast(frame(changed, false));
    }

    @Override
    public void save(List<StrikeEntry> contained) {
        mRegistration.saveStrikes(
                new WireSavedStrikes(
                        HopWire.toWire(contained, mSuspects.nowMillis()),
                        System.currentTimeMillis()));
    }

    @Override
    public void earlierRecordFound(NodeRecord earlier) {
        mEarlierRecordConsumer.accept(earlier);
    }

    @Override
    public void received(HopConnection connection, HopFrame frame) {
        switch (frame.getSetField()) {
            case HELLO -> mDirectory.handleHello(connection, frame.getHello());
            case RECORDS -> merge(frame.getRecords());
            case PULSE -> compare(connection, frame.getPulse());
            case CONFIG -> mExchange.received(connection, frame.getConfig());
            case QUOTA -> mQuota.received(connection, frame.getQuota());
            case CONFIG_WANTED -> mExchange.answerPull(connection, frame.getConfigWanted());
            case ROLLOUT -> {
                if (mRollouts != null) {
                    mRollouts.received(frame.getRollout());
                }
            }
            default ->
                    EventLog.log(
                            SidecarEvent.HOP_CONNECTION_FAILED,
                            "peer",
                            "frame " + frame.getSetField());
        }
    }

    private void merge(WireNodeRecords records) {
        mDirectory.merge(records);
        if (records.isSetStrikes()) {
            List<StrikeEntry> changed =
                    mSuspects.merge(HopWire.fromWire(records.getStrikes(), mSuspects.nowMillis()));
            if (!changed.isEmpty() && !records.isRelayed()) {
                mDirectory.relay(frame(changed, true));
            }
        }
    }

    private void mergeSaved(WireSavedStrikes saved) {
        long age = Math.max(0, System.currentTimeMillis() - saved.getSavedAtMillis());
        mSuspects.merge(HopWire.fromWire(saved.getStrikes(), mSuspects.nowMillis() - age));
    }

    private HopFrame frame(List<StrikeEntry> strikes, boolean relayed) {
        return HopFrame.records(
                new WireNodeRecords(List.of(), relayed)
                        .setStrikes(HopWire.toWire(strikes, mSuspects.nowMillis())));
    }

    private void compare(HopConnection connection, WirePulse pulse) {
        mConfigs.heard();
        if (pulse.isReply()) {
            confirm(pulse);
        }
        mExchange.schedulePull(connection, pulse.getConfigVersion());
        mExchange.sendMissed(connection, pulse.getConfigVersion());
        boolean all = pulse.isSetStrikeDigest();
        if (all) {
            sendDifferences(connection, pulse);
        }
        // A reply that tells nothing new still confirms the version that the peer holds.
        if (!pulse.isReply()) {
            WirePulse reply = all ? fullPulse(true) : versionPulse(true);
            connection.send(
                    HopFrame.pulse(
                            pulse.isSetAskedNanos()
                                    ? reply.setAskedNanos(pulse.getAskedNanos())
                                    : reply));
        }
    }

    /** Renews the lease of the configuration; a peer of an earlier release tells no times. */
    private void confirm(WirePulse reply) {
        long now = System.nanoTime();
        if (!reply.isSetAgeMillis()) {
            mConfigs.confirmed(reply.getConfigVersion(), now);
        } else if (reply.isSetAskedNanos() && reply.getAgeMillis() >= 0) {
            long askedNanos = now - Math.max(0, now - reply.getAskedNanos());
            long ageNanos = TimeUnit.MILLISECONDS.toNanos(reply.getAgeMillis());
            mConfigs.confirmed(reply.getConfigVersion(), askedNanos - ageNanos);
        }
    }

    /** Sends a peer what it may lack besides the configuration. */
    private void sendDifferences(HopConnection connection, WirePulse pulse) {
        if (pulse.getStrikeDigest() != mSuspects.digest()) {
            connection.send(frame(mSuspects.entries(), true));
        }
        if (mRollouts != null && pulse.getRolloutDigest() != mRollouts.digest()) {
            mRollouts.sendAll(connection::send);
        }
        if (pulse.getMemberDigest() != mDirectory.table().digest()) {
            mDirectory.sendMissing(connection, pulse.getMembers());
        }
        mMembersCompared |= pulse.getMembers() <= mDirectory.table().records().size();
    }

    private void tick() {
        if (mClosed) {
            return;
        }
        long now = System.nanoTime();
        long wallMillis = System.currentTimeMillis();
        mPauses.tick(now, wallMillis);
        mDirectory.tick(now);
        countShareHolders(now, wallMillis);
        mTickListener.accept(now);
        mQuota.tick();
        mSuspects.decidePeerLosses(mPeers);
        updateReader(now);
        renewLease(now);
        if (mRollouts != null) {
            mRollouts.tick();
        }
        mLoop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Decides whether this node reads the store: the first ones of the data centre do, and one
     * whose configuration no peer confirms any more, as its links may not work.
     */
    private void updateReader(long nowNanos) {
        NodeRecord self = mDirectory.self();
        int rank = self.storeReachable() ? mDirectory.rank(self, true) : Integer.MAX_VALUE;
        ConfigLease lease = mConfigs.lease();
        boolean unconfirmed =
                mConfigs.current() != null
                        && lease.peersSilent(nowNanos)
                        && (mIsReader || lease.storeReadDue(nowNanos));
        boolean first = rank < ConfigExchange.READERS;
        mIsDataCentreReader = first && !mDirectory.linksUp().isEmpty();
        boolean isReader = first || (self.storeReachable() && unconfirmed);
        if (isReader != mIsReader) {
            mIsReader = isReader;
            EventLog.log(SidecarEvent.READER, isReader, rank);
        }
        if (isReader) {
            List<String> readers = mDirectory.order().allReaders(ConfigExchange.READERS);
            mPolls.setTurn(readers.indexOf(self.node()), readers.size());
        }
        mReader.setActive(isReader);
    }

    /**
     * Confirms the configuration if this node reads the store, or else asks for that if due. A
     * reader of its data centre confirms what it has while the store does not answer, too: nobody
     * there can know of more.
     */
    private void renewLease(long nowNanos) {
        boolean following = (mIsDataCentreReader || mReader.following()) && !mConfigs.awaitsNewer();
        if (following && mFollowing) {
            // All that had arrived by the last tick has been read since then.
            mConfigs.lease().confirmed(mTickNanos);
        }
        mFollowing = following;
        mTickNanos = nowNanos;
        logLease(nowNanos);
        boolean askedLately = nowNanos - mAskedNanos < MIN_ASK_NANOS;
        if (!following && !askedLately && mConfigs.lease().renewalDue(nowNanos)) {
            askReaders(mDirectory.readerLinks(ConfigExchange.READERS));
        }
    }

    private void logLease(long nowNanos) {
        boolean valid = !mConfigs.expired(nowNanos);
        if (valid != mLeaseValid) {
            mLeaseValid = valid;
            long ageMillis = TimeUnit.NANOSECONDS.toMillis(mConfigs.lease().ageNanos(nowNanos));
            int links = mDirectory.linksUp().size();
            EventLog.log(SidecarEvent.CONFIG_LEASE, valid, mConfigs.version(), ageMillis, links);
        }
    }

    private void askReaders(List<HopLink> readers) {
        mAskedNanos = System.nanoTime();
        HopFrame frame = versionFrame(false);
        readers.forEach(link -> link.ask(frame));
    }

    private void countShareHolders(long nowNanos, long wallMillis) {
        ShareHolders holders = mDirectory.shareHolders();
        int before = holders.count();
        holders.tick(
                mRegistration.complete() || mMembersCompared,
                !mDirectory.linksUp().isEmpty(),
                nowNanos,
                wallMillis);
        if (holders.count() != before) {
            EventLog.log(
                    SidecarEvent.SHARE_HOLDERS,
                    holders.count(),
                    mDirectory.table().records().size(),
                    mDirectory.reachable());
        }
    }

    private void pulse() {
        if (mClosed) {
            return;
        }
        mSuspects.tick();
        List<HopLink> partners = mDirectory.antiEntropyLinks();
        if (!partners.isEmpty()) {
            HopFrame frame = mPulses.comparesState() ? pulseFrame(false) : versionFrame(false);
            partners.get(mRandom.nextInt(partners.size())).ask(frame);
        }
        List<HopLink> readers = mDirectory.readerLinks(ConfigExchange.READERS);
        if (!readers.isEmpty()) {
            askReaders(List.of(readers.get(mNextReader++ % readers.size())));
        }
        mLoop.schedule(this::pulse, mPulses.nextDelayMillis(), TimeUnit.MILLISECONDS);
    }

    /** Returns a pulse that only tells the version of the configuration in force. */
    private HopFrame versionFrame(boolean reply) {
        return HopFrame.pulse(versionPulse(reply));
    }

    /** Returns a pulse with digests of all that nodes compare. */
    private HopFrame pulseFrame(boolean reply) {
        return HopFrame.pulse(fullPulse(reply));
    }

    private WirePulse fullPulse(boolean reply) {
        WirePulse pulse = versionPulse(reply).setStrikeDigest(mSuspects.digest());
        long rollouts = mRollouts == null ? 0 : mRollouts.digest();
        return rollouts == 0 ? pulse : pulse.setRolloutDigest(rollouts);
    }

    /** Returns a pulse with the version in force and its age; a request also has its time. */
    private WirePulse versionPulse(boolean reply) {
        long now = System.nanoTime();
        WirePulse pulse =
                new WirePulse(
                        mConfigs.version(),
                        mDirectory.table().digest(),
                        reply,
                        mDirectory.table().records().size());
        long ageMillis = TimeUnit.NANOSECONDS.toMillis(mConfigs.lease().ageNanos(now));
        pulse.setAgeMillis(ageMillis > Integer.MAX_VALUE ? -1 : (int) ageMillis);
        return reply ? pulse : pulse.setAskedNanos(now);
    }

    /** Handles the events of the store reader. */
    private final class StoreListener implements StoreReader.Listener {
        @Override
        public void configRead(byte[] content) {
            if (mExchange.installFromStore(content)) {
                mDirectory.remoteRelays().forEach(link -> link.send(pulseFrame(true)));
            }
        }

        @Override
        public void recordsRead(List<KeyedRecord> records, long newestEnd) {
            if (mRollouts != null) {
                mRollouts.recordsRead(records, newestEnd);
            }
        }

        @Override
        public void reachable(boolean reachable) {
            mDirectory.publishStoreReachable(reachable);
        }

        @Override
        public void newestRead(long askedNanos) {
            if (!mConfigs.awaitsNewer()) {
                mConfigs.lease().confirmed(askedNanos);
            }
        }
    }
}
