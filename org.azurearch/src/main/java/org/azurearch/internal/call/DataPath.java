package org.azurearch.internal.call;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.security.SecureRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.azurearch.call.CallEvent;
import org.azurearch.config.ConfigInForce;
import org.azurearch.config.MeshConfig;
import org.azurearch.config.ServiceConfig;
import org.azurearch.config.SiteConfig;
import org.azurearch.events.EventLog;
import org.azurearch.internal.admit.BackendAdmission;
import org.azurearch.kernel.Kernel;
import org.azurearch.lib.NodeId;
import org.azurearch.lib.StreamId;
import org.azurearch.log.LogClient;
import org.azurearch.member.Announcement;
import org.azurearch.member.Board;
import org.azurearch.member.EndpointView;
import org.azurearch.member.LocalBackend;
import org.azurearch.member.MemberView;
import org.azurearch.route.Balancer;
import org.azurearch.route.OutlierPolicy;
import org.azurearch.route.PowerOfTwoBalancer;
import org.azurearch.settings.NodeIdentity;
import org.azurearch.settings.SettingsSection;
import org.azurearch.time.TimeSource;
import org.azurearch.time.TimerService;

/** State and services shared by all workers of a node. Thread-safe. */
final class DataPath {
    private static final int DEFAULT_BACKEND_CONNECTIONS = 100;
    private static final int MAX_HOP_CONNECTIONS = 4_000;

    private final CallSettings mSettings;
    private final NodeIdentity mIdentity;
    private final ConfigInForce mConfig;
    private final EndpointView mEndpoints;
    private final LocalBackend mBackend;
    private final MeshKeys mKeys;
    private final TlsContexts mTls;
    private final TimerService mTimers;
    private final TimeSource mTime;
    private final MemberView mMembers;
    private final CrashMonitor mCrashMonitor;
    private final TicketRegistry mTickets;
    private final ClaimService mClaims;
    private final RouteTables mRoutes;
    private final BackendAdmission mAdmission;
    private final CallMetrics mCallMetrics;
    private final RequestMemory mRequestMemory;
    private final Balancer mBalancer = new PowerOfTwoBalancer();
    private final ConnectionLimit mBackendLimit = new ConnectionLimit(DEFAULT_BACKEND_CONNECTIONS);
    private final ConnectionLimit mHopLimit = new ConnectionLimit(MAX_HOP_CONNECTIONS);
    private final AtomicInteger mConnections = new AtomicInteger();
    private final AtomicInteger mCalls = new AtomicInteger();
    private volatile boolean mDraining;

    /** Creates the data path from the settings and services of the kernel. */
    DataPath(Kernel kernel) {
        MetricRegistry metrics = kernel.service(MetricRegistry.class);
        SettingsSection settings = kernel.service(SettingsSection.class);
        mSettings = CallSettings.from(settings);
        mKeys = MeshKeys.from(settings);
        mTls = TlsContexts.from(settings);
        mIdentity = kernel.service(NodeIdentity.class);
        mConfig = kernel.service(ConfigInForce.class);
        mEndpoints = kernel.service(EndpointView.class);
        mBackend = kernel.service(LocalBackend.class);
        mTimers = kernel.service(TimerService.class);
        mTime = mTimers.time();
        mMembers = kernel.service(MemberView.class);
        String epoch = Long.toHexString(new SecureRandom().nextLong());
        mCrashMonitor =
                new CrashMonitor(kernel.service(Board.class), mIdentity.node(), epoch, mTime);
        mTickets =
                new TicketRegistry(
                        mIdentity.node(), epoch, mTime, mSettings.ticketLifetime(), metrics);
        mClaims =
                new ClaimService(
                        kernel.service(LogClient.class),
                        StreamId.fromString(mIdentity.mesh() + ".claims"),
                        mTimers,
                        ClaimSettings.from(settings),
                        metrics);
        mRoutes = new RouteTables(mConfig);
        mAdmission = new BackendAdmission(mBackend, mTime, metrics);
        mCallMetrics = new CallMetrics(metrics);
        mRequestMemory =
                new RequestMemory(
                        mSettings.maxRequestMemoryBytes(),
                        mTime,
                        (refused, held) ->
                                EventLog.log(CallEvent.REQUEST_MEMORY_FULL, refused, held));
        mRequestMemory.register(metrics);
        metrics.gauge("calls.in-flight", () -> (Gauge<Integer>) mCalls::get);
        metrics.gauge("calls.connections", () -> (Gauge<Integer>) mConnections::get);
        metrics.gauge("calls.backend.connections", () -> (Gauge<Integer>) mBackendLimit::inUse);
        metrics.gauge("calls.hop.connections", () -> (Gauge<Integer>) mHopLimit::inUse);
    }

    CallSettings settings() {
        return mSettings;
    }

    NodeIdentity identity() {
        return mIdentity;
    }

    EndpointView endpoints() {
        return mEndpoints;
    }

    MemberView members() {
        return mMembers;
    }

    CrashMonitor crashMonitor() {
        return mCrashMonitor;
    }

    TimerService timers() {
        return mTimers;
    }

    TicketRegistry tickets() {
        return mTickets;
    }

    ClaimService claims() {
        return mClaims;
    }

    LocalBackend backend() {
        return mBackend;
    }

    TimeSource time() {
        return mTime;
    }

    RouteTables routes() {
        return mRoutes;
    }

    BackendAdmission admission() {
        return mAdmission;
    }

    /** Returns what bounds the memory of requests. */
    RequestMemory requestMemory() {
        return mRequestMemory;
    }

    CallMetrics callMetrics() {
        return mCallMetrics;
    }

    Balancer balancer() {
        return mBalancer;
    }

    OutlierPolicy outlierPolicy() {
        return OutlierPolicy.DEFAULT;
    }

    /**
     * Returns the limit on connections to the backend server, updated from its service's config.
     */
    ConnectionLimit backendLimit(Announcement announcement) {
        MeshConfig config = mConfig.current();
        SiteConfig site = config == null ? null : config.firms().get(announcement.firm());
        ServiceConfig service = site == null ? null : site.services().get(announcement.service());
        if (service != null) {
            mBackendLimit.max(service.connections());
        }
        return mBackendLimit;
    }

    ConnectionLimit hopLimit() {
        return mHopLimit;
    }

    /** Returns the setup for a worker's connections to a node. */
    ConnectionSetup hopSetup(CallWorker worker, NodeId node) {
        return new HopHandshakeClient(worker, node, mTimers, mTls);
    }

    TlsContexts tls() {
        return mTls;
    }

    MeshKeys keys() {
        return mKeys;
    }

    boolean draining() {
        return mDraining;
    }

    void drain() {
        mDraining = true;
    }

    /**
     * Counts a new connection, also one above the limit, until {@link #connectionClosed}.
     *
     * @return whether the connection is within the limit
     */
    boolean connectionOpened() {
        return mConnections.incrementAndGet() <= mSettings.maxConnections();
    }

    /** Returns the number of open connections of callers and peers. */
    int connections() {
        return mConnections.get();
    }

    void connectionClosed() {
        mConnections.decrementAndGet();
    }

    void callStarted() {
        mCalls.incrementAndGet();
    }

    void callEnded() {
        mCalls.decrementAndGet();
    }

    int callsInFlight() {
        return mCalls.get();
    }
}
