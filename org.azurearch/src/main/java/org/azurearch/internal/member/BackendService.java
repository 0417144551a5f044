package org.azurearch.internal.member;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.azurearch.config.ConfigInForce;
import org.azurearch.config.MeshConfig;
import org.azurearch.config.ServiceConfig;
import org.azurearch.config.SiteConfig;
import org.azurearch.events.EventLog;
import org.azurearch.member.Announcement;
import org.azurearch.member.BackendState;
import org.azurearch.member.Endpoint;
import org.azurearch.member.LocalBackend;
import org.azurearch.member.Member;
import org.azurearch.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the state of the backend server beside this node, probes it and publishes changes. Calls
 * and timers run on their own threads, so the state is guarded by a lock that is held briefly.
 */
final class BackendService implements LocalBackend, AutoCloseable {
    private static final Duration TICK_PERIOD = Duration.ofMillis(100);

    /** Publishes the endpoints of this node to the peers. */
    interface Publisher {
        /** Publishes the complete list of this node's endpoints. */
        void publish(List<Endpoint> endpoints);
    }

    private final BackendCore mCore = new BackendCore();
    private final HealthProbe mProbe = new HealthProbe();
    private final TimerService mTimers;
    private final Supplier<Optional<ConfigInForce>> mConfig;
    private final Supplier<Member> mSelf;
    private final Publisher mPublisher;
    private final List<Consumer<BackendState>> mListeners = new CopyOnWriteArrayList<>();
    private final TimerService.ScheduledTask mTicks;
    private volatile BackendState mState = BackendState.ABSENT;
    private volatile @Nullable Announcement mAnnouncement;
    private int mPublishedSlots;
    private long mReadySinceMillis;
    private long mNextProbeMillis;
    private boolean mProbing;

    /**
     * Creates the service with no backend server announced.
     *
     * @param timers the timers
     * @param config supplies the configuration in force, which defines how to probe
     * @param self supplies this node's own record
     * @param publisher publishes the endpoints
     */
    BackendService(
            TimerService timers,
            Supplier<Optional<ConfigInForce>> config,
            Supplier<Member> self,
            Publisher publisher) {
        mTimers = timers;
        mConfig = config;
        mSelf = self;
        mPublisher = publisher;
        mTicks = timers.every(TICK_PERIOD, this::tick);
    }

    @Override
    public synchronized void announce(Announcement announcement) {
        mCore.announce(announcement, now());
        update();
    }

    @Override
    public synchronized void withdraw() {
        mCore.withdraw();
        update();
    }

    @Override
    public synchronized void drain() {
        mCore.drain();
        update();
    }

    @Override
    public @Nullable Announcement announcement() {
        return mAnnouncement;
    }

    @Override
    public BackendState state() {
        return mState;
    }

    @Override
    public void addListener(Consumer<BackendState> listener) {
        mListeners.add(listener);
    }

    @Override
    public synchronized void reportCallOutcome(boolean healthy) {
        mCore.recordCall(healthy, now());
        update();
    }

    @Override
    public void close() {
        mTicks.cancel();
        mProbe.close();
    }

    private synchronized void tick() {
        mCore.tick(now());
        update();
        probeIfDue();
    }

    /** Records the outcome of a probe, unless another server has taken the probed one's place. */
    private synchronized void recordProbe(Announcement probed, boolean healthy) {
        mProbing = false;
        Announcement current = mAnnouncement;
        if (current != null && current.sameServer(probed)) {
            mCore.recordProbe(healthy);
            update();
        }
    }

    private void update() {
        Announcement announcement = mCore.announcement();
        Announcement before = mAnnouncement;
        BackendState state = mCore.state(now());
        boolean sameSlots = announcement == null || announcement.slots() == mPublishedSlots;
        boolean replaced =
                announcement != null && before != null && !before.sameServer(announcement);
        mAnnouncement = announcement;
        if (state == mState && sameSlots && !replaced) {
            return;
        }
        if (state == BackendState.READY && (replaced || mState != BackendState.READY)) {
            mReadySinceMillis = now().wallMillis();
        }
        boolean stateChanged = state != mState;
        mState = state;
        Announcement latest = announcement == null ? before : announcement;
        if (latest != null) {
            publish(latest, announcement != null, state);
        }
        if (stateChanged || replaced) {
            mListeners.forEach(listener -> listener.accept(state));
        }
    }

    private void publish(Announcement announcement, boolean announced, BackendState state) {
        mPublishedSlots = announcement.slots();
        EventLog.log(
                MemberEvent.BACKEND_CHANGED, announcement.address(), announcement.service(), state);
        mPublisher.publish(announced ? List.of(endpoint(announcement, state)) : List.of());
    }

    private Endpoint endpoint(Announcement announcement, BackendState state) {
        Member self = mSelf.get();
        return new Endpoint(
                announcement.firm(),
                announcement.service(),
                self.node(),
                self.incarnation(),
                self.dataCentre(),
                self.region(),
                self.calls(),
                state,
                announcement.slots(),
                mReadySinceMillis);
    }

    /** Sends a probe if one is due and none is in flight. */
    private void probeIfDue() {
        Announcement announcement = mAnnouncement;
        long now = now().millis();
        if (announcement == null || mProbing || now < mNextProbeMillis) {
            return;
        }
        ServiceConfig service = configOf(announcement);
        if (service == null || service.probePath().isEmpty()) {
            return;
        }
        mProbing = true;
        mNextProbeMillis = now + service.probePeriod().toMillis();
        mProbe.probe(announcement.address(), service.probePath())
                .thenAccept(healthy -> recordProbe(announcement, healthy));
    }

    private @Nullable ServiceConfig configOf(Announcement announcement) {
        MeshConfig config = mConfig.get().map(ConfigInForce::current).orElse(null);
        SiteConfig site = config == null ? null : config.firms().get(announcement.firm());
        return site == null ? null : site.services().get(announcement.service());
    }

    private Moment now() {
        return Moment.now(mTimers.time());
    }
}
