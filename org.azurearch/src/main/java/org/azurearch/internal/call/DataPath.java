package org.azurearch.internal.call;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.atomic.AtomicInteger;
import org.azurearch.config.ConfigInForce;
import org.azurearch.config.MeshConfig;
import org.azurearch.config.ServiceConfig;
import org.azurearch.config.SiteConfig;
import org.azurearch.internal.admit.BackendGate;
import org.azurearch.kernel.Kernel;
import org.azurearch.lib.NodeId;
import org.azurearch.member.Announcement;
import org.azurearch.member.EndpointView;
import org.azurearch.member.LocalBackend;
import org.azurearch.route.Balancer;
import org.azurearch.route.OutlierPolicy;
import org.azurearch.route.PowerOfTwoBalancer;
import org.azurearch.settings.NodeIdentity;
import org.azurearch.settings.SettingsSection;
import org.azurearch.time.TimeSource;
import org.azurearch.time.TimerService;

/** What all lanes of a node share. Thread-safe. */
final class DataPath {
    private static final int DEFAULT_BACKEND_CONNECTIONS = 100;
    private static final int MAX_HOP_CONNECTIONS = 4_000;

    private final CallSettings mSettings;
    private final NodeIdentity mIdentity;
    private final ConfigInForce mConfig;
    private final EndpointView mEndpoints;
    private final LocalBackend mBackend;
    private final TimeSource mTime;
    private final RouteTables mRoutes;
    private final BackendGate mGate;
    private final CallMetrics mCallMetrics;
    private final Balancer mBalancer = new PowerOfTwoBalancer();
    private final ConnectionLimit mBackendLimit = new ConnectionLimit(DEFAULT_BACKEND_CONNECTIONS);
    private final ConnectionLimit mHopLimit = new ConnectionLimit(MAX_HOP_CONNECTIONS);
    private final AtomicInteger mConnections = new AtomicInteger();
    private final AtomicInteger mCalls = new AtomicInteger();
    private volatile boolean mDraining;

    /** Takes the services that the data path needs from the kernel. */
    DataPath(Kernel kernel) {
        MetricRegistry metrics = kernel.service(MetricRegistry.class);
        mSettings = CallSettings.from(kernel.service(SettingsSection.class));
        mIdentity = kernel.service(NodeIdentity.class);
        mConfig = kernel.service(ConfigInForce.class);
        mEndpoints = kernel.service(EndpointView.class);
        mBackend = kernel.service(LocalBackend.class);
        mTime = kernel.service(TimerService.class).time();
        mRoutes = new RouteTables(mConfig);
        mGate = new BackendGate(mBackend, mTime, metrics);
        mCallMetrics = new CallMetrics(metrics);
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

    LocalBackend backend() {
        return mBackend;
    }

    TimeSource time() {
        return mTime;
    }

    RouteTables routes() {
        return mRoutes;
    }

    BackendGate gate() {
        return mGate;
    }

    CallMetrics callMetrics() {
        return mCallMetrics;
    }

    Balancer balancer() {
        return mBalancer;
    }

    OutlierPolicy outliers() {
        return OutlierPolicy.DEFAULT;
    }

    /** Returns the bound on connections to the backend server, as its service is configured. */
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

    /** Returns how connections to a node are set up. */
    ConnectionSetup hopSetup(NodeId node) {
        return ConnectionSetup.PLAIN;
    }

    boolean draining() {
        return mDraining;
    }

    void drain() {
        mDraining = true;
    }

    /** Counts a new connection, and says whether there is room for it. */
    boolean connectionOpened() {
        return mConnections.incrementAndGet() <= mSettings.maxConnections();
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

    int calls() {
        return mCalls.get();
    }
}
