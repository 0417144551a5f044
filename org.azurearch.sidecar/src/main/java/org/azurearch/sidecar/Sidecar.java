package org.azurearch.sidecar;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.azurearch.errors.AzurearchException;
import org.azurearch.events.EventLog;
import org.azurearch.internal.call.RequestMemory;
import org.azurearch.lib.NetAddress;
import org.azurearch.metrics.MetricsReport;
import org.azurearch.metrics.PrometheusText;
import org.azurearch.sidecar.admit.LinkLoad;
import org.azurearch.sidecar.call.AttemptFailure;
import org.azurearch.sidecar.internal.BackendMonitor;
import org.azurearch.sidecar.internal.CallLog;
import org.azurearch.sidecar.internal.PauseDetector;
import org.azurearch.sidecar.internal.PlainHttpServer;
import org.azurearch.sidecar.internal.backend.BackendDispatcher;
import org.azurearch.sidecar.internal.call.CallRouter;
import org.azurearch.sidecar.internal.call.CallServer;
import org.azurearch.sidecar.internal.hop.DeferredHopListener;
import org.azurearch.sidecar.internal.hop.HopNetwork;
import org.azurearch.sidecar.internal.hop.HopServer;
import org.azurearch.sidecar.internal.mesh.ConfigHolder;
import org.azurearch.sidecar.internal.mesh.MeshService;
import org.azurearch.sidecar.internal.mesh.QuotaMesh;
import org.azurearch.sidecar.internal.quota.QuotaService;
import org.azurearch.sidecar.internal.rollout.RolloutService;
import org.azurearch.sidecar.internal.suspect.CallFingerprints;
import org.azurearch.sidecar.internal.suspect.SuspectTracker;
import org.azurearch.sidecar.route.EndpointState;
import org.azurearch.sidecar.store.KeyedLog;
import org.azurearch.time.SystemTimeSource;
import org.jspecify.annotations.Nullable;

/**
 * A node beside a backend server, on a platform that stores the configuration. It runs on a single
 * event loop: a call never changes threads, and threads share no state.
 */
public final class Sidecar implements AutoCloseable {
    /** The key under which operators store the configuration. */
    private static final String CONFIG_KEY = "config";

    /**
     * Minimum duration of a drain; callers take a little over two seconds to notice that the node
     * is not ready. Calls that still arrive afterwards are refused, so that running calls can end.
     */
    private static final long MIN_DRAIN_MILLIS = 2_300;

    /**
     * Time for which calls are refused before the listener closes, so that a caller who sends when
     * the drain ends is told when to come back.
     */
    private static final long REFUSE_MILLIS = 250;

    /**
     * Time after the start of a drain at which the leaving record is published. Until then peers
     * keep sending calls to the backend server behind this node, which is still healthy. The rest
     * of the drain lets the record reach the peers and their calls end.
     */
    private static final long LEAVE_AFTER_MILLIS = 1_800;

    /** Calls that are still running this long before the end of the grace period are cut off. */
    private static final long STOP_MARGIN_MILLIS = 350;

    /**
     * Time before the end of a drain at which calls that still wait are refused: they could not end
     * any more, and their refusals have to come back from peers and reach the callers.
     */
    private static final long WITHDRAW_BEFORE_MILLIS = 600;

    private static final long DRAIN_POLL_MILLIS = 50;

    /**
     * Time after a node has read the addresses of the others at which it takes calls even if it
     * reaches none of them: a second.
     */
    private static final long PEERS_WAIT_NANOS = 1_000_000_000L;

    /**
     * Time after the start at which it does so even if the store has not answered; long, as a node
     * without peers serves few calls.
     */
    private static final long MAX_PEERS_WAIT_MILLIS = 5_000;

    private final SidecarSettings mSettings;
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final EventLoopGroup mGroup;
    private final EventLoop mLoop;
    private final Dialect mDialect;
    private final HopNetwork mNetwork;
    private final KeyedLog mLog;
    private final ConfigHolder mConfigs;
    private final BackendDispatcher mDispatcher;
    private final MeshService mMesh;
    private final CallRouter mRouter;
    private final RequestMemory mRequestMemory;
    private final CallLog mCallLog = new CallLog();
    private final CallServer mCallServer;
    private final BackendMonitor mBackendMonitor;
    private final @Nullable QuotaService mQuota;
    private final HopServer mHopServer;
    private final long mStartedNanos = System.nanoTime();
    private final int mPeerPort;
    private final AtomicBoolean mCloseRequested = new AtomicBoolean();
    private Ports mPorts = new Ports(0, 0, 0, 0);
    private boolean mStopping;
    private boolean mPeersClosing;
    private boolean mWasReady;

    private Sidecar(
            SidecarSettings settings,
            Platform platform,
            EventLoopGroup group,
            HopNetwork network,
            NetAddress peers,
            int peerPort) {
        mSettings = settings;
        mGroup = group;
        mLoop = group.next();
        mDialect = platform.dialect();
        mNetwork = network;
        mNetwork.sentFrames().register(mMetrics);
        mPeerPort = peerPort;
        mLog = platform.openLog(mLoop);
        mConfigs = new ConfigHolder(platform.configCodec(), settings.configApplyMillis());
        mBackendMonitor = new BackendMonitor(settings, platform.heartbeatCodec(), mConfigs);
        PauseDetector pauses = new PauseDetector(System.nanoTime(), System.currentTimeMillis());
        SuspectTracker suspects =
                new SuspectTracker(new CallFingerprints(mDialect), settings.node(), mMetrics);
        mDispatcher =
                new BackendDispatcher(
                        mLoop,
                        settings.heartbeatMillis(),
                        mDialect,
                        mBackendMonitor,
                        mCallLog,
                        suspects,
                        new LinkLoad(settings.features().linkMbps()),
                        mMetrics);
        mMesh =
                new MeshService(
                        mLoop,
                        settings,
                        mNetwork,
                        peers,
                        mLog,
                        CONFIG_KEY,
                        mConfigs,
                        suspects,
                        pauses,
                        mBackendMonitor::restore,
                        platform.rolloutCodec(),
                        mMetrics);
        mBackendMonitor.attach(mDispatcher, mMesh);
        mRouter =
                new CallRouter(
                        mLoop,
                        settings,
                        mDialect,
                        mConfigs,
                        mMesh.directory(),
                        mDispatcher,
                        suspects,
                        pauses,
                        mCallLog,
                        mMetrics);
        attachRollouts();
        mQuota = startQuota(settings);
        mRequestMemory = requestMemory(settings);
        mRequestMemory.register(mMetrics);
        mCallServer = new CallServer(mLoop, mRouter, mRequestMemory);
        mHopServer = new HopServer(mLoop, mDispatcher, pauses, mRequestMemory, mMesh, mMetrics);
        mMesh.onTick(mHopServer::tick);
    }

    /**
     * Starts a node.
     *
     * @param settings the settings of the node
     * @param platform the platform that it runs on
     */
    public static Sidecar start(SidecarSettings settings, Platform platform) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        CompletableFuture<Sidecar> started = new CompletableFuture<>();
        HopNetwork network = new HopNetwork(group.next());
        DeferredHopListener hopListener = new DeferredHopListener();
        int port = network.listen(settings.peers(), hopListener);
        NetAddress advertised = settings.advertisedPeers();
        NetAddress peers =
                advertised == null ? new NetAddress(settings.peers().host(), port) : advertised;
        group.next()
                .execute(
                        () -> {
                            try {
                                Sidecar node =
                                        new Sidecar(
                                                settings, platform, group, network, peers, port);
                                hopListener.delegateTo(node.mHopServer);
                                started.complete(node);
                            } catch (RuntimeException e) {
                                started.completeExceptionally(e);
                            }
                        });
        Sidecar sidecar = started.join();
        sidecar.listen();
        return sidecar;
    }

    /**
     * The ports that a node listens on.
     *
     * @param calls the port for calls from this VM
     * @param ready the port at which the platform polls whether it takes calls
     * @param heartbeats the port for heartbeats
     * @param peers the port for peers
     */
    public record Ports(int calls, int ready, int heartbeats, int peers) {}

    /** Returns the bound ports; they differ from the settings where those have port 0. */
    public Ports ports() {
        return mPorts;
    }

    /** Returns the number of backend servers to which this node can currently send calls. */
    public int reachableBackends() {
        return CompletableFuture.supplyAsync(
                        () ->
                                (int)
                                        mMesh.directory().endpoints().stream()
                                                .filter(EndpointState::usable)
                                                .count(),
                        mLoop)
                .join();
    }

    /**
     * Applies reloaded settings to the calls that begin after this method returns. Only the service
     * takes effect; addresses do not change.
     */
    public void reload(SidecarSettings settings) {
        CompletableFuture.runAsync(() -> mRouter.updateCallerService(settings.service()), mLoop)
                .join();
        EventLog.log(SidecarEvent.RELOADED, settings.service(), settings.backend().name());
    }

    /**
     * Drains and shuts down: takes no new calls, lets the running ones end, and closes. Returns
     * when all calls have ended and their answers are sent, or the grace period is nearly over.
     */
    @Override
    public void close() {
        stop(System.nanoTime());
    }

    /**
     * Does the same for a stop that was requested earlier, as while the node was starting.
     *
     * @param requestedNanos when the grace period began, as {@link System#nanoTime()}
     */
    public void stop(long requestedNanos) {
        if (mCloseRequested.getAndSet(true)) {
            mGroup.terminationFuture().awaitUninterruptibly();
            return;
        }
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        mLoop.execute(() -> beginStop(requestedNanos, stopped));
        stopped.join();
        mGroup.shutdownGracefully(0, STOP_MARGIN_MILLIS / 2, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(STOP_MARGIN_MILLIS / 2);
    }

    private void listen() {
        int heartbeats = serve(mSettings.heartbeats(), this::handleHeartbeat);
        int ready = serve(mSettings.ready(), this::readiness);
        try {
            serve(mSettings.metrics(), this::metrics);
        } catch (AzurearchException e) {
            EventLog.log(SidecarEvent.HANDLER_FAILED, "metrics listener", e.toString());
        }
        mPorts = new Ports(mCallServer.listen(mSettings.calls()), ready, heartbeats, mPeerPort);
        mMetrics.gauge("calls.in-flight", () -> (Gauge<Integer>) mRouter::calls);
        mMetrics.gauge("backend.running", () -> (Gauge<Integer>) mDispatcher::running);
        mMetrics.gauge("backend.waiting", () -> (Gauge<Integer>) mDispatcher::waiting);
        mMetrics.gauge("config.version", () -> (Gauge<Long>) mConfigs::version);
        mMetrics.gauge("members.reachable", () -> (Gauge<Integer>) mMesh.directory()::reachable);
        observeLink(mDispatcher.link());
        EventLog.log(
                SidecarEvent.STARTED,
                mSettings.node(),
                mMesh.directory().self().incarnation(),
                mSettings.calls().name(),
                mMesh.directory().self().address().name(),
                sinceStartMillis());
    }

    /** Serves an endpoint of the node itself; returns the port. */
    private int serve(NetAddress address, PlainHttpServer.Handler handler) {
        return new PlainHttpServer(mLoop, address, mRequestMemory, mCallLog, handler).port();
    }

    private static RequestMemory requestMemory(SidecarSettings settings) {
        return new RequestMemory(
                settings.callers().maxRequestMemoryBytes(),
                new SystemTimeSource(),
                (refused, held) -> EventLog.log(SidecarEvent.REQUEST_MEMORY_FULL, refused, held));
    }

    private void observeLink(LinkLoad link) {
        if (link.limited()) {
            Gauge<Double> queued = () -> link.queuedMillis(System.nanoTime());
            mMetrics.gauge("link.queued-millis", () -> queued);
            mMetrics.gauge("link.refused", () -> (Gauge<Long>) link::refused);
            EventLog.log(SidecarEvent.LINK_LIMITED, link.mbps());
        }
    }

    private void attachRollouts() {
        RolloutService rollouts = mMesh.rollouts();
        if (rollouts != null) {
            mDispatcher.rejectIf(backend -> rollouts.rejects(backend.service(), backend.version()));
            rollouts.gateOwnBackend(rejected -> mDispatcher.rejectionsChanged());
            mRouter.routeByVersion(rollouts);
        }
    }

    private @Nullable QuotaService startQuota(SidecarSettings settings) {
        FeatureSettings.QuotaBound bound = settings.features().quota();
        if (bound == null) {
            return null;
        }
        QuotaService quota =
                new QuotaService(mLoop, settings.node(), bound, new QuotaMesh(mMesh), mMetrics);
        mConfigs.subscribe(quota::update);
        mMesh.attach(quota);
        mRouter.attach(quota);
        return quota;
    }

    private PlainHttpServer.Reply handleHeartbeat(PlainHttpServer.Request request) {
        return mBackendMonitor.handle(request);
    }

    private PlainHttpServer.Reply readiness(PlainHttpServer.Request request) {
        boolean ready = ready();
        if (ready != mWasReady) {
            mWasReady = ready;
            EventLog.log(
                    SidecarEvent.READINESS,
                    ready,
                    mConfigs.version(),
                    mMesh.directory().reachable());
        }
        boolean pathMatches = request.path().equals(mDialect.readyPath());
        int otherStatus =
                pathMatches
                        ? HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                        : HttpResponseStatus.NOT_FOUND.code();
        return PlainHttpServer.Reply.of(
                pathMatches && ready ? HttpResponseStatus.OK.code() : otherStatus);
    }

    private boolean ready() {
        boolean peersSettled =
                mMesh.peersReached()
                        || mMesh.membersReadBefore(PEERS_WAIT_NANOS)
                        || sinceStartMillis() > MAX_PEERS_WAIT_MILLIS;
        boolean configured = mConfigs.current() != null && !mRouter.configExpired();
        return !mStopping && configured && peersSettled;
    }

    private PlainHttpServer.Reply metrics(PlainHttpServer.Request request) {
        String text =
                PrometheusText.of(MetricsReport.collect(mMetrics, System.currentTimeMillis()));
        return new PlainHttpServer.Reply(
                HttpResponseStatus.OK.code(),
                PrometheusText.MEDIA_TYPE,
                text.getBytes(StandardCharsets.UTF_8));
    }

    private void beginStop(long sinceNanos, CompletableFuture<Void> stopped) {
        mStopping = true;
        long endNanos =
                sinceNanos
                        + TimeUnit.MILLISECONDS.toNanos(
                                mSettings.graceMillis() - STOP_MARGIN_MILLIS);
        mRouter.stopAt(endNanos);
        mDispatcher.stopAt(endNanos);
        mCallServer.drain();
        if (mBackendMonitor.departed()) {
            mMesh.unregister()
                    .whenComplete(
                            (done, failure) -> {
                                if (failure != null) {
                                    EventLog.log(
                                            SidecarEvent.STORE_DOWN,
                                            "unregister",
                                            failure.toString());
                                }
                            });
        }
        EventLog.log(SidecarEvent.STOPPING, pendingCalls(), mSettings.graceMillis());
        awaitDrained(sinceNanos, stopped);
    }

    private void awaitDrained(long sinceNanos, CompletableFuture<Void> stopped) {
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
        if (millis >= LEAVE_AFTER_MILLIS && !mMesh.directory().self().leaving()) {
            mMesh.directory().publishLeaving();
            if (mQuota != null) {
                mQuota.close();
            }
        }
        if (millis >= MIN_DRAIN_MILLIS) {
            mRouter.refuseNewCalls();
            mDispatcher.refuseNewCalls();
        }
        long endMillis = mSettings.graceMillis() - STOP_MARGIN_MILLIS;
        if (millis >= endMillis - WITHDRAW_BEFORE_MILLIS) {
            mCallServer.withdraw();
            mDispatcher.refuseWaiting(AttemptFailure.stopping());
        }
        boolean sent = unsentBytes() == 0 && !mHopServer.awaitsPeers();
        boolean ended = pendingCalls() == 0 && sent && !mCallServer.closingAny();
        if (ended && millis >= MIN_DRAIN_MILLIS + REFUSE_MILLIS) {
            closePeers();
        }
        if ((mPeersClosing && mHopServer.closed()) || millis >= endMillis) {
            EventLog.log(SidecarEvent.STOPPED, pendingCalls(), millis, unsentBytes());
            mCallServer.close();
            mMesh.close();
            mHopServer.close();
            mNetwork.close();
            mLog.close();
            stopped.complete(null);
            return;
        }
        mLoop.schedule(
                () -> awaitDrained(sinceNanos, stopped), DRAIN_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void closePeers() {
        if (!mPeersClosing) {
            mPeersClosing = true;
            mNetwork.close();
            mHopServer.closeAfterSending();
        }
    }

    private int pendingCalls() {
        return mRouter.calls() + mDispatcher.running() + mDispatcher.waiting();
    }

    private long unsentBytes() {
        return mCallServer.unsentBytes() + mHopServer.unsentBytes();
    }

    private long sinceStartMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mStartedNanos);
    }
}
