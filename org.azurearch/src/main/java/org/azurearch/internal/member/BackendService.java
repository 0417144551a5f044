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
 * The backend server behind this node: keeps its state, probes it, and makes changes known. Calls
 * and timers come on their own threads, so the state is guarded by a lock that is held briefly.
 */
final class BackendService implements LocalBackend, AutoCloseable {
    private static final Duration TICK = Duration.ofMillis(100);

    /** Makes the endpoints of this node known to the others. */
    interface Publisher {
        /** Takes the new endpoints, all that this node has. */
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
     * Creates the service without a backend server.
     *
     * @param timers the timers
     * @param config finds the configuration in force, which says how to probe
     * @param self returns this node's own record
     * @param publisher makes endpoints known
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
        mTicks = timers.every(TICK, this::tick);
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
    public void listen(Consumer<BackendState> listener) {
        mListeners.add(listener);
    }

    @Override
    public synchronized void report(boolean healthy) {
        mCore.called(healthy, now());
        update();
    }

    @Override
    public void close() {
        mTicks.cancel();
    }

    private synchronized void tick() {
        mCore.tick(now());
        update();
        probeIfDue();
    }

    private synchronized void probed(boolean healthy) {
        mProbing = false;
        mCore.probed(healthy);
        update();
    }

    private void update() {
        Announcement announcement = mCore.announcement();
        Announcement before = mAnnouncement;
        BackendState state = mCore.state(now());
        boolean sameSlots = announcement == null || announcement.slots() == mPublishedSlots;
        mAnnouncement = announcement;
        if (state == mState && sameSlots) {
            return;
        }
        if (state == BackendState.READY && mState != BackendState.READY) {
            mReadySinceMillis = now().wallMillis();
        }
        boolean stateChanged = state != mState;
        mState = state;
        Announcement known = announcement == null ? before : announcement;
        if (known != null) {
            publish(known, announcement != null, state);
        }
        if (stateChanged) {
            mListeners.forEach(listener -> listener.accept(state));
        }
    }

    private void publish(Announcement known, boolean announced, BackendState state) {
        mPublishedSlots = known.slots();
        EventLog.log(MemberEvent.BACKEND_CHANGED, known.address(), known.service(), state);
        mPublisher.publish(announced ? List.of(endpoint(known, state)) : List.of());
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

    /** Sends one probe when it is time; never two at once. */
    private void probeIfDue() {
        Announcement announcement = mAnnouncement;
        long now = now().millis();
        if (announcement == null || mProbing || now < mNextProbeMillis) {
            return;
        }
        ServiceConfig service = serviceOf(announcement);
        if (service == null || service.probePath().isEmpty()) {
            return;
        }
        mProbing = true;
        mNextProbeMillis = now + service.probePeriod().toMillis();
        mProbe.probe(announcement.address(), service.probePath()).thenAccept(this::probed);
    }

    private @Nullable ServiceConfig serviceOf(Announcement announcement) {
        MeshConfig config = mConfig.get().map(ConfigInForce::current).orElse(null);
        SiteConfig site = config == null ? null : config.firms().get(announcement.firm());
        return site == null ? null : site.services().get(announcement.service());
    }

    private Moment now() {
        return Moment.now(mTimers.time());
    }
}
