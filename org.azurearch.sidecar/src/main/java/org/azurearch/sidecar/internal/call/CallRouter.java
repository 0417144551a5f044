package org.azurearch.sidecar.internal.call;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.azurearch.sidecar.Dialect;
import org.azurearch.sidecar.SidecarSettings;
import org.azurearch.sidecar.call.Attempt;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.config.RouteRule;
import org.azurearch.sidecar.config.RoutingConfig;
import org.azurearch.sidecar.internal.HeaderList;
import org.azurearch.sidecar.internal.backend.BackendDesk;
import org.azurearch.sidecar.internal.hop.HopLink;
import org.azurearch.sidecar.internal.mesh.ConfigKeeper;
import org.azurearch.sidecar.internal.mesh.NodeDirectory;
import org.azurearch.sidecar.route.EndpointSelector;
import org.azurearch.sidecar.route.EndpointState;
import org.azurearch.sidecar.route.HedgeDelay;
import org.azurearch.sidecar.route.SharedRetryBudget;
import org.azurearch.sidecar.route.SplitPicker;
import org.jspecify.annotations.Nullable;

/** What all calls of callers on this VM share. Confined to one event loop. */
public final class CallRouter {
    /** Weight of a new answer in the expected size of a route's answers. */
    private static final double SIZE_WEIGHT = 0.05;

    /** What an answer is taken to hold before the first one, in bytes. */
    private static final double FIRST_SIZE_GUESS = 2_048;

    private static final double NANOS_PER_MILLI = 1e6;

    private final EventLoop mLoop;
    private final SidecarSettings mSettings;
    private final Dialect mDialect;
    private final ConfigKeeper mConfigs;
    private final NodeDirectory mDirectory;
    private final BackendDesk mDesk;
    private final CallMetrics mMetrics;
    private final CallLog mLog = new CallLog();
    private final SplittableRandom mRandom = new SplittableRandom();
    private final EndpointSelector mPlacement = new EndpointSelector(mRandom);
    private final SplitPicker mSplits = new SplitPicker();
    private final double mSplitStart = mRandom.nextDouble();
    private final Map<String, SharedRetryBudget> mAllowances = new HashMap<>();
    private final Map<String, Long> mLastRequestNanos = new HashMap<>();
    private final Map<String, Double> mAnswerBytes = new HashMap<>();
    private final Map<String, HedgeDelay> mHedgeDelays = new HashMap<>();
    private final Set<String> mOwnHeaders;
    private String mService;
    private long mNextId = 1;
    private int mCalls;
    private boolean mStopping;

    /**
     * Creates a router.
     *
     * @param loop the event loop of the node
     * @param settings the settings of this node
     * @param dialect the names of headers
     * @param configs the configuration in force
     * @param directory the nodes that are known
     * @param desk the way to the backend server behind this node
     * @param metrics where metrics are registered
     */
    public CallRouter(
            EventLoop loop,
            SidecarSettings settings,
            Dialect dialect,
            ConfigKeeper configs,
            NodeDirectory directory,
            BackendDesk desk,
            MetricRegistry metrics) {
        mLoop = loop;
        mSettings = settings;
        mDialect = dialect;
        mOwnHeaders =
                Set.of(
                        dialect.callerService(),
                        dialect.deadlineMillis(),
                        dialect.expectedInstance());
        mConfigs = configs;
        mDirectory = directory;
        mDesk = desk;
        mMetrics = new CallMetrics(metrics);
        mService = settings.service();
    }

    /** Sets the service on whose VM calls begin. */
    public void service(String service) {
        mService = service;
    }

    /** Returns the number of calls under way. */
    public int calls() {
        return mCalls;
    }

    /** Refuses what begins from now on, as the node is about to end. */
    public void stopTaking() {
        mStopping = true;
    }

    boolean stopping() {
        return mStopping;
    }

    EventLoop loop() {
        return mLoop;
    }

    Dialect dialect() {
        return mDialect;
    }

    CallMetrics metrics() {
        return mMetrics;
    }

    CallLog log() {
        return mLog;
    }

    /**
     * Returns the headers that go on with a request, with the caller's service set by this node.
     */
    List<String> onward(HttpHeaders received) {
        List<String> headers = HeaderList.onward(received, mOwnHeaders);
        headers.add(mDialect.callerService());
        headers.add(mService);
        return headers;
    }

    @Nullable RoutingConfig config() {
        return mConfigs.current();
    }

    void begun() {
        mCalls++;
    }

    void ended() {
        mCalls--;
    }

    long nextId() {
        return mNextId++;
    }

    /** Returns a number from 0 to 1, to spread what would else happen at one time. */
    double random() {
        return mRandom.nextDouble();
    }

    /** Returns the service that the next request of a route goes to. */
    String pick(RouteRule route) {
        return mSplits.next(route, mSplitStart);
    }

    /** Takes note that a request of a route was refused and never ran. */
    void refused(RouteRule route, String service) {
        mSplits.onRefusal(route, service);
    }

    /** Counts a request for a service. */
    void requested(String service) {
        long now = System.nanoTime();
        long last = mLastRequestNanos.getOrDefault(service, now);
        mLastRequestNanos.put(service, now);
        double window = mSettings.retries().windowMillis() * NANOS_PER_MILLI;
        allowance(service).onRequest(mDirectory.reachable(), (now - last) / window);
    }

    /** Takes the right to send a request for a service once more, if there is one. */
    boolean mayRepeat(String service) {
        return allowance(service).tryTake();
    }

    /** Chooses where a request goes; null when no backend server takes it. */
    @Nullable EndpointState choose(RouteRule route, String service, Set<String> tried) {
        double bytes = mAnswerBytes.getOrDefault(route.name(), FIRST_SIZE_GUESS);
        EndpointState own = mDirectory.own();
        long now = System.nanoTime();
        own.observeLoad(mDesk.load(), now);
        return mPlacement.choose(
                mDirectory.endpoints(),
                new EndpointSelector.Request(
                        service, route.name(), route.rank(), route.targetMillis(), bytes, tried),
                now);
    }

    /** Returns after which silence a request of a route is sent a second time. */
    long hedgeMillis(RouteRule route) {
        return hedgeDelay(route).delayMillis(route.targetMillis());
    }

    /** Takes note of the size of an answer and of how long it took. */
    void answered(RouteRule route, int bytes, long millis) {
        hedgeDelay(route).observe(millis);
        mAnswerBytes.merge(
                route.name(), (double) bytes, (old, now) -> old + SIZE_WEIGHT * (now - old));
    }

    /** Sends a request to the node in front of an endpoint. */
    Attempt send(EndpointState endpoint, HopCall call, Attempt.Listener sink) {
        if (endpoint == mDirectory.own()) {
            return mDesk.accept(call, sink);
        }
        HopLink link = mDirectory.link(endpoint.node());
        if (link == null) {
            throw new IllegalStateException("no link to " + endpoint.node());
        }
        return link.call(call, sink);
    }

    private HedgeDelay hedgeDelay(RouteRule route) {
        return mHedgeDelays.computeIfAbsent(route.name(), name -> new HedgeDelay());
    }

    private SharedRetryBudget allowance(String service) {
        return mAllowances.computeIfAbsent(
                service,
                name ->
                        new SharedRetryBudget(
                                mSettings.retries().ratio(), mSettings.retries().reserve()));
    }
}
