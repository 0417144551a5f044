package org.azurearch.internal.spread;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Function;
import org.azurearch.events.EventLog;
import org.azurearch.log.LogClient;
import org.azurearch.member.MemberView;
import org.azurearch.spread.Position;
import org.azurearch.time.TimerService;
import org.azurearch.transport.PeerClient;
import org.azurearch.transport.PeerServer;
import org.jspecify.annotations.Nullable;

/** The duty that passes inputs to the distribution core and executes its effects. */
final class SpreadRunner implements AutoCloseable {
    private static final Duration MEMBERSHIP_DEBOUNCE = Duration.ofMillis(100);
    private static final long MIN_TICK_MILLIS = 1;
    private static final long MAX_TICK_MILLIS = 1_000;

    private final SpreadSettings mSettings;
    private final MemberView mMembers;
    private final TimerService mTimers;
    private final SpreadCore mCore;
    private final PeerOperations mPeerOperations;
    private final LogOperations mLogOperations;
    private final ProgressTable mProgress = new ProgressTable();
    private final PeerService mPeerService;
    private final InputRing mRing;
    private final AtomicBoolean mMembersChanged = new AtomicBoolean();
    private final List<Consumer<SpreadEffect.Installed>> mListeners = new CopyOnWriteArrayList<>();
    private final Counter mLogReads;
    private final Counter mPushes;
    private final Counter mPulls;
    private final MetricRegistry mMetrics;
    private volatile SpreadView mView;
    private TimerService.@Nullable ScheduledTask mTick;

    /**
     * Services that the runner uses.
     *
     * @param log the log
     * @param peers the client for requests to peers
     * @param members the membership
     * @param timers the timers and the clock
     * @param metrics the metric registry
     * @param format the encoding of states and deltas
     * @param ring creates the ring for a handler of inputs
     */
    record Services(
            LogClient log,
            PeerClient peers,
            MemberView members,
            TimerService timers,
            MetricRegistry metrics,
            FoldFormat format,
            Function<Consumer<SpreadInput>, InputRing> ring) {}

    /**
     * Creates a runner and starts its thread.
     *
     * @param mesh the name of the mesh
     * @param settings the settings
     * @param services the services used
     * @param seed the random seed for jitter and the choice of peers
     */
    SpreadRunner(String mesh, SpreadSettings settings, Services services, long seed) {
        mSettings = settings;
        mMembers = services.members();
        mTimers = services.timers();
        mMetrics = services.metrics();
        mCore =
                new SpreadCore(
                        settings,
                        services.format(),
                        new SplittableRandom(seed),
                        Topology.of(mMembers, settings.readers()),
                        mTimers.time().millis());
        mView = SpreadView.of(mCore);
        mPeerOperations =
                new PeerOperations(
                        services.peers(),
                        mMembers,
                        mProgress,
                        mTimers.time(),
                        settings,
                        this::offer);
        mLogOperations =
                new LogOperations(services.log(), mesh, services.format(), mTimers, this::offer);
        mPeerService =
                new PeerService(
                        services.format(),
                        this::view,
                        this::offer,
                        mMembers,
                        mProgress,
                        mTimers.time(),
                        settings.policy().compressionLevel());
        mLogReads = mMetrics.counter("spread.log.reads");
        mPushes = mMetrics.counter("spread.pushes");
        mPulls = mMetrics.counter("spread.pulls");
        mMetrics.gauge("spread.offset", () -> (Gauge<Long>) () -> view().position().offset());
        mRing = services.ring().apply(this::handle);
    }

    /** Registers with the membership and the peer server, and schedules the first tick. */
    void start(PeerServer server) {
        mPeerService.register(server);
        mMembers.addListener(this::onMembersChanged);
        offer(new SpreadInput.Tick());
    }

    /** Returns the view published for other threads. */
    SpreadView view() {
        return mView;
    }

    /** Returns the offsets that peers have reported. */
    ProgressTable progress() {
        return mProgress;
    }

    /**
     * Adds a listener that puts states in force. It is called on the duty's thread before the new
     * position is published, so that a node never reports a version that it does not use yet.
     */
    void addListener(Consumer<SpreadEffect.Installed> listener) {
        mListeners.add(listener);
    }

    @Override
    public void close() {
        mRing.close();
    }

    private boolean offer(SpreadInput input) {
        return mRing.offer(input);
    }

    private void onMembersChanged() {
        if (mMembersChanged.compareAndSet(false, true)) {
            mTimers.after(MEMBERSHIP_DEBOUNCE, () -> offer(new SpreadInput.Tick()));
        }
    }

    private void handle(SpreadInput input) {
        if (mMembersChanged.compareAndSet(true, false)) {
            mProgress.retainMembers(mMembers);
            step(new SpreadInput.MembersChanged(Topology.of(mMembers, mSettings.readers())));
        }
        step(input);
        scheduleTick();
    }

    private void step(SpreadInput input) {
        List<SpreadEffect> effects =
                mCore.handle(input, mTimers.time().millis(), mTimers.time().wallMillis());
        for (SpreadEffect effect : effects) {
            if (effect instanceof SpreadEffect.Installed installed) {
                putInForce(installed);
            }
        }
        mView = SpreadView.of(mCore);
        effects.forEach(this::execute);
    }

    private void scheduleTick() {
        if (mTick != null) {
            mTick.cancel();
        }
        long wait = mCore.dueAt() - mTimers.time().millis();
        long bounded = Math.max(MIN_TICK_MILLIS, Math.min(MAX_TICK_MILLIS, wait));
        mTick = mTimers.after(Duration.ofMillis(bounded), () -> offer(new SpreadInput.Tick()));
    }

    private void execute(SpreadEffect effect) {
        if (effect instanceof SpreadEffect.ReadLog read) {
            mLogReads.inc();
            mLogOperations.readChanges(read.offset(), read.maxWait());
        } else if (effect instanceof SpreadEffect.Push push) {
            mPushes.inc();
            mPeerOperations.push(push.to(), push.delta(), push.subtree());
        } else if (effect instanceof SpreadEffect.Pull pull) {
            mPulls.inc();
            mPeerOperations.pull(pull.to(), pull.position(), pull.maxBytes());
        } else if (effect instanceof SpreadEffect.Report report) {
            EventLog.log(report.event(), report.arguments().toArray());
        } else {
            executeSnapshotEffect(effect);
        }
    }

    private void executeSnapshotEffect(SpreadEffect effect) {
        if (effect instanceof SpreadEffect.FetchManifest fetch) {
            mPeerOperations.fetchManifest(fetch.to());
        } else if (effect instanceof SpreadEffect.FetchChunk fetch) {
            mPeerOperations.fetchChunk(fetch.to(), fetch.digest());
        } else if (effect instanceof SpreadEffect.ReadSnapshots read) {
            mLogOperations.readSnapshots(read.offset(), read.maxBytes());
        } else if (effect instanceof SpreadEffect.FindNewestSnapshot) {
            mLogOperations.findNewestSnapshot();
        } else if (effect instanceof SpreadEffect.SaveSnapshot save) {
            mLogOperations.saveSnapshot(save.state());
        }
    }

    private void putInForce(SpreadEffect.Installed installed) {
        String source = installed.source().name().toLowerCase(Locale.ROOT);
        mMetrics.counter("spread.installed." + source).inc();
        mListeners.forEach(listener -> listener.accept(installed));
        EventLog.log(SpreadEvent.INSTALLED, Position.of(installed.state()), source);
    }
}
