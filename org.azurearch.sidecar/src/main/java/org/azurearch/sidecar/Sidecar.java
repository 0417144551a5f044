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
import org.azurearch.errors.AzurearchException;
import org.azurearch.events.EventLog;
import org.azurearch.lib.NetAddress;
import org.azurearch.metrics.MetricsReport;
import org.azurearch.metrics.PrometheusText;
import org.azurearch.sidecar.internal.BackendWatch;
import org.azurearch.sidecar.internal.PlainHttpServer;
import org.azurearch.sidecar.internal.backend.BackendDesk;
import org.azurearch.sidecar.internal.call.CallRouter;
import org.azurearch.sidecar.internal.call.CallServer;
import org.azurearch.sidecar.internal.hop.HopGate;
import org.azurearch.sidecar.internal.hop.HopNetwork;
import org.azurearch.sidecar.internal.hop.HopServer;
import org.azurearch.sidecar.internal.mesh.ConfigKeeper;
import org.azurearch.sidecar.internal.mesh.MeshService;
import org.azurearch.sidecar.route.EndpointState;
import org.azurearch.sidecar.store.KeyedLog;

/**
 * A node beside a backend server, on a platform that keeps the configuration. All of it runs on one
 * event loop: a call never changes threads, and no state is shared.
 */
public final class Sidecar implements AutoCloseable {
    /** The key under which operators keep the configuration. */
    private static final String CONFIG_KEY = "config";

    /**
     * Callers notice within two seconds that the node takes no more calls, and a little more. Some
     * are not sent elsewhere; from then on they are refused, so that what runs can end.
     */
    private static final long MIN_DRAIN_MILLIS = 2_300;

    /**
     * Until then other nodes go on using the backend server behind this one, which is as good as
     * before; the rest of the time is for the news to arrive and for their calls to end.
     */
    private static final long LEAVE_AFTER_MILLIS = 1_800;

    /** What is left of the grace period when calls are cut at the latest. */
    private static final long STOP_MARGIN_MILLIS = 350;

    private static final long DRAIN_POLL_MILLIS = 50;

    /** Without the members, a node that has a configuration takes calls after this time. */
    private static final long MEMBERS_PATIENCE_MILLIS = 1_000;

    private final SidecarSettings mSettings;
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final EventLoopGroup mGroup;
    private final EventLoop mLoop;
    private final Dialect mDialect;
    private final HopNetwork mNetwork;
    private final KeyedLog mLog;
    private final ConfigKeeper mConfigs;
    private final BackendDesk mDesk;
    private final MeshService mMesh;
    private final CallRouter mRouter;
    private final CallServer mCalls;
    private final BackendWatch mBackend;
    private final HopServer mHops;
    private final long mStartedNanos = System.nanoTime();
    private Ports mPorts = new Ports(0, 0, 0);
    private boolean mStopping;
    private boolean mWasReady;

    private Sidecar(
            SidecarSettings settings,
            Platform platform,
            EventLoopGroup group,
            HopNetwork network,
            NetAddress peers) {
        mSettings = settings;
        mGroup = group;
        mLoop = group.next();
        mDialect = platform.dialect();
        mNetwork = network;
        mLog = platform.openLog(mLoop);
        mConfigs = new ConfigKeeper(platform.configs());
        mBackend = new BackendWatch(settings, platform.reports(), mConfigs);
        mDesk = new BackendDesk(mLoop, mDialect, mBackend);
        mMesh =
                new MeshService(
                        mLoop,
                        settings,
                        mNetwork,
                        peers,
                        mLog,
                        CONFIG_KEY,
                        mConfigs,
                        mBackend::remembered);
        mBackend.bind(mDesk, mMesh);
        mRouter =
                new CallRouter(
                        mLoop, settings, mDialect, mConfigs, mMesh.directory(), mDesk, mMetrics);
        mCalls = new CallServer(mLoop, mRouter);
        mHops = new HopServer(mDesk, mMesh);
    }

    /**
     * Starts a node.
     *
     * @param settings its settings
     * @param platform the platform that it runs on
     */
    public static Sidecar start(SidecarSettings settings, Platform platform) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        CompletableFuture<Sidecar> started = new CompletableFuture<>();
        HopNetwork network = new HopNetwork(group.next());
        HopGate gate = new HopGate();
        int port = network.listen(settings.peers(), gate);
        NetAddress peers = new NetAddress(settings.peers().host(), port);
        group.next()
                .execute(
                        () -> {
                            try {
                                Sidecar node =
                                        new Sidecar(settings, platform, group, network, peers);
                                gate.open(node.mHops);
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
     * @param calls where it takes calls of this VM
     * @param ready where it says whether it takes calls
     * @param reports where it takes heartbeats
     */
    public record Ports(int calls, int ready, int reports) {}

    /** Returns the ports, which matter where the settings ask for free ones. */
    public Ports ports() {
        return mPorts;
    }

    /** Returns the number of backend servers that calls of this node may go to now. */
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
     * Goes over to settings that were read again; addresses stay as they are. Calls that begin
     * after this returns go by them.
     */
    public void reload(SidecarSettings settings) {
        CompletableFuture.runAsync(() -> mRouter.service(settings.service()), mLoop).join();
        EventLog.log(SidecarEvent.RELOADED, settings.service(), settings.backend().name());
    }

    /**
     * Stops in order: takes no new work, finishes what runs, and closes. Returns when all is done
     * or the grace period is nearly over.
     */
    @Override
    public void close() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        mLoop.execute(() -> beginStop(stopped));
        stopped.join();
        mGroup.shutdownGracefully(0, STOP_MARGIN_MILLIS / 2, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(STOP_MARGIN_MILLIS);
    }

    private void listen() {
        int reports = new PlainHttpServer(mLoop, mSettings.reports(), this::report).port();
        int ready = new PlainHttpServer(mLoop, mSettings.ready(), this::readiness).port();
        try {
            new PlainHttpServer(mLoop, mSettings.metrics(), this::metrics);
        } catch (AzurearchException e) {
            EventLog.log(SidecarEvent.HANDLER_FAILED, "metrics listener", e.toString());
        }
        mPorts = new Ports(mCalls.listen(mSettings.calls()), ready, reports);
        mMetrics.gauge("calls.in-flight", () -> (Gauge<Integer>) mRouter::calls);
        mMetrics.gauge("backend.running", () -> (Gauge<Integer>) mDesk::running);
        mMetrics.gauge("backend.waiting", () -> (Gauge<Integer>) mDesk::waiting);
        mMetrics.gauge("config.version", () -> (Gauge<Long>) mConfigs::version);
        mMetrics.gauge("members.reachable", () -> (Gauge<Integer>) mMesh.directory()::reachable);
        EventLog.log(
                SidecarEvent.STARTED,
                mSettings.node(),
                mMesh.directory().self().incarnation(),
                mSettings.calls().name(),
                mMesh.directory().self().address().name(),
                sinceStartMillis());
    }

    private PlainHttpServer.Reply report(PlainHttpServer.Request request) {
        return mBackend.handle(request);
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
        boolean asked = request.path().equals(mDialect.readyPath());
        int other =
                asked
                        ? HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                        : HttpResponseStatus.NOT_FOUND.code();
        return PlainHttpServer.Reply.of(asked && ready ? HttpResponseStatus.OK.code() : other);
    }

    private boolean ready() {
        boolean settled = mMesh.membersKnown() || sinceStartMillis() > MEMBERS_PATIENCE_MILLIS;
        return !mStopping && mConfigs.current() != null && settled;
    }

    private PlainHttpServer.Reply metrics(PlainHttpServer.Request request) {
        String text =
                PrometheusText.of(MetricsReport.collect(mMetrics, System.currentTimeMillis()));
        return new PlainHttpServer.Reply(
                HttpResponseStatus.OK.code(),
                PrometheusText.MEDIA_TYPE,
                text.getBytes(StandardCharsets.UTF_8));
    }

    private void beginStop(CompletableFuture<Void> stopped) {
        mStopping = true;
        mCalls.drain();
        if (mBackend.departed()) {
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
        EventLog.log(SidecarEvent.STOPPING, pending(), mSettings.graceMillis());
        awaitDrained(System.nanoTime(), stopped);
    }

    private void awaitDrained(long sinceNanos, CompletableFuture<Void> stopped) {
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
        if (millis >= LEAVE_AFTER_MILLIS && !mMesh.directory().self().leaving()) {
            mMesh.directory().publishLeaving();
        }
        if (millis >= MIN_DRAIN_MILLIS) {
            mRouter.stopTaking();
            mDesk.stopTaking();
        }
        boolean drained = pending() == 0 && millis >= MIN_DRAIN_MILLIS;
        if (drained || millis >= mSettings.graceMillis() - STOP_MARGIN_MILLIS) {
            EventLog.log(SidecarEvent.STOPPED, pending(), millis);
            mCalls.close();
            mMesh.close();
            mNetwork.close();
            mLog.close();
            stopped.complete(null);
            return;
        }
        mLoop.schedule(
                () -> awaitDrained(sinceNanos, stopped), DRAIN_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private int pending() {
        return mRouter.calls() + mDesk.running() + mDesk.waiting();
    }

    private long sinceStartMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mStartedNanos);
    }
}
