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
import org.azurearch.sidecar.internal.hop.SentFrames;
import org.azurearch.sidecar.internal.quota.QuotaPeer;
import org.azurearch.sidecar.internal.rollout.RolloutService;
import org.azurearch.sidecar.internal.suspect.PeerLosses;
import org.azurearch.sidecar.internal.suspect.StrikeEntry;
import org.azurearch.sidecar.internal.suspect.StrikeExchange;
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

    /** Bytes of shared state in a second beyond which they are logged. */
    private static final long LOGGED_STATE_BYTES = 65_536;

    private static final long LOG_STATE_NANOS = 1_000_000_000L;

    private final EventLoop mLoop;
    private final SentFrames mSent;
    private final Consumer<NodeRecord> mEarlierRecordConsumer;
    private final ConfigHolder mConfigs;
    private final SuspectTracker mSuspects;
    private final StrikeExchange mStrikes;
    private final PauseDetector mPauses;
    private final NodeDirectory mDirectory;
    private final NodeRegistration mRegistration;
    private final ConfigExchange mExchange;
    private final LeaseRenewal mLease;
    private final PollSchedule mPolls;
    private final StoreReader mReader;
    private final @Nullable RolloutService mRollouts;
    private final PeerLosses.Peers mPeers;
    private final SplittableRandom mRandom = new SplittableRandom();
    private final PulseSchedule mPulses = new PulseSchedule(mRandom);
    private QuotaPeer mQuota = QuotaPeer.NONE;
    private LongConsumer mTickListener = now -> {};
    private boolean mIsReader;
    private int mRank = Integer.MAX_VALUE;
    private long mStateLoggedNanos;

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
        mSent = network.sentFrames();
        mSuspects = suspects;
        mStrikes = new StrikeExchange(suspects);
        mPauses = pauses;
        mEarlierRecordConsumer = earlierRecordConsumer;
        mLoop = loop;
        mConfigs = configs;
        mDirectory =
                new NodeDirectory(loop, network, settings, peers, System.currentTimeMillis(), this);
        mPeers = new KnownPeers(mDirectory);
        mLease = new LeaseRenewal(configs, mDirectory);
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
        boolean local = mDirectory.localLinks().contains(link);
        boolean starting = local && mStartupPulsesSent < STARTUP_PULSES;
        if (starting) {
            mStartupPulsesSent++;
        }
        if (starting || mSuspects.digest() != 0) {
            link.send(pulseFrame(false));
        }
        if (local) {
            mExchange.repeatChange(link);
        }
        if (mRollouts != null) {
            mRollouts.sendAll(link::send);
        }
    }

    @Override
    public void publish(List<StrikeEntry> changed) {
        mDirectory.broadcast(mStrikes.frame(changed, false));
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
            case STRIKE_HASHES -> mStrikes.received(frame.getStrikeHashes(), connection::send);
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
                mDirectory.relay(mStrikes.frame(changed, true));
            }
        }
    }

    private void mergeSaved(WireSavedStrikes saved) {
        long age = Math.max(0, System.currentTimeMillis() - saved.getSavedAtMillis());
        mSuspects.merge(HopWire.fromWire(saved.getStrikes(), mSuspects.nowMillis() - age));
    }

    private void compare(HopConnection connection, WirePulse pulse) {
        mConfigs.heard();
        if (pulse.isReply()) {
            mLease.replied(pulse, connection.peer());
        }
        mExchange.schedulePull(connection, pulse.getConfigVersion());
        mExchange.sendMissed(connection, pulse.getConfigVersion());
        boolean all = pulse.isSetStrikeDigest();
        if (all) {
            sendDifferences(connection, pulse);
        }
        // A reply that tells nothing new still confirms the version that the peer holds.
        if (!pulse.isReply()) {
            WirePulse reply = all ? fullPulse(true) : mLease.versionPulse(true);
            connection.send(
                    HopFrame.pulse(
                            pulse.isSetAskedNanos()
                                    ? reply.setAskedNanos(pulse.getAskedNanos())
                                    : reply));
        }
    }

    /** Sends a peer what it may lack besides the configuration. */
    private void sendDifferences(HopConnection connection, WirePulse pulse) {
        mStrikes.compare(pulse, connection::send);
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
        mReader.tick(mConfigs.lease().ageNanos(now), mRank == 1, now);
        mLease.tick(mRank < ConfigExchange.READERS, storeLost(), now);
        logStateTraffic(now);
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
        mRank = rank;
        boolean first = rank < ConfigExchange.READERS;
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
        mConfigs.setCutOff(mDirectory.order().storeOutOfReach(self.dataCentre()));
    }

    /**
     * Returns whether the data centre of this reader cannot reach the store: the store is silent,
     * or those nodes whose duty this one has just taken over have lost it.
     */
    private boolean storeLost() {
        return mReader.storeSilent() || (mReader.unanswered() && succeedsReaders());
    }

    private boolean succeedsReaders() {
        return mDirectory.order().succeedsReaders(mDirectory.self().dataCentre());
    }

    private void logStateTraffic(long nowNanos) {
        if (nowNanos - mStateLoggedNanos < LOG_STATE_NANOS) {
            return;
        }
        mStateLoggedNanos = nowNanos;
        List<String> bytes = mSent.takeStateBytes(LOGGED_STATE_BYTES);
        if (!bytes.isEmpty()) {
            EventLog.log(SidecarEvent.STATE_TRAFFIC, bytes);
        }
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
            HopFrame frame =
                    mPulses.comparesState()
                            ? pulseFrame(false)
                            : HopFrame.pulse(mLease.versionPulse(false));
            partners.get(mRandom.nextInt(partners.size())).ask(frame);
        }
        mLease.askNextReader();
        mLoop.schedule(this::pulse, mPulses.nextDelayMillis(), TimeUnit.MILLISECONDS);
    }

    /** Returns a pulse with digests of all that nodes compare. */
    private HopFrame pulseFrame(boolean reply) {
        return HopFrame.pulse(fullPulse(reply));
    }

    private WirePulse fullPulse(boolean reply) {
        WirePulse pulse = mStrikes.addTo(mLease.versionPulse(reply));
        long rollouts = mRollouts == null ? 0 : mRollouts.digest();
        return rollouts == 0 ? pulse : pulse.setRolloutDigest(rollouts);
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
        public void upToDate(long asOfNanos) {
            mConfigs.confirmedByStore(asOfNanos);
        }
    }
}
