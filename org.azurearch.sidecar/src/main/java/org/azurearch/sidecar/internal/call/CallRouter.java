package org.azurearch.sidecar.internal.call;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.Verdict;
import org.azurearch.sidecar.CallerLimits;
import org.azurearch.sidecar.Dialect;
import org.azurearch.sidecar.FeatureSettings.HedgeLimit;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.SidecarSettings;
import org.azurearch.sidecar.admit.StopLimit;
import org.azurearch.sidecar.call.Attempt;
import org.azurearch.sidecar.call.AttemptFailure;
import org.azurearch.sidecar.call.BackendAnswer;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.config.RouteRule;
import org.azurearch.sidecar.config.RoutingConfig;
import org.azurearch.sidecar.internal.CallLog;
import org.azurearch.sidecar.internal.HeaderList;
import org.azurearch.sidecar.internal.PauseDetector;
import org.azurearch.sidecar.internal.backend.BackendDispatcher;
import org.azurearch.sidecar.internal.hop.HopLink;
import org.azurearch.sidecar.internal.mesh.ConfigHolder;
import org.azurearch.sidecar.internal.mesh.NodeDirectory;
import org.azurearch.sidecar.internal.quota.QuotaService;
import org.azurearch.sidecar.internal.rollout.CallVersions;
import org.azurearch.sidecar.internal.rollout.RolloutService;
import org.azurearch.sidecar.internal.suspect.SuspectTracker;
import org.azurearch.sidecar.rollout.EvidenceCounter;
import org.azurearch.sidecar.route.EndpointSelector;
import org.azurearch.sidecar.route.EndpointState;
import org.azurearch.sidecar.route.HeadOfLinePolicy;
import org.azurearch.sidecar.route.HedgeDelay;
import org.azurearch.sidecar.route.SharedRetryBudget;
import org.azurearch.sidecar.route.SplitPicker;
import org.jspecify.annotations.Nullable;

/**
 * Chooses endpoints, limits retries and sends requests for all calls of callers on this VM.
 * Confined to one event loop.
 */
public final class CallRouter {
    /**
     * Retry delay for what the configuration in force does not know while it may be outdated. The
     * version that adds it is usually in force within this time.
     */
    static final long OUTDATED_RETRY_MILLIS = 250;

    /** Time after the end of its lease within which the configuration is usually confirmed. */
    private static final long CONFIRMATION_NANOS = 300_000_000L;

    private static final double NANOS_PER_MILLI = 1e6;

    private final EventLoop mLoop;
    private final SidecarSettings mSettings;
    private final Dialect mDialect;
    private final ConfigHolder mConfigs;
    private final NodeDirectory mDirectory;
    private final BackendDispatcher mDispatcher;
    private final CallMetrics mMetrics;
    private final SuspectTracker mSuspects;
    private final PauseDetector mPauses;
    private final CallLog mLog;
    private final SplittableRandom mRandom = new SplittableRandom();
    private final EndpointSelector mSelector;
    private final SplitPicker mSplitPicker = new SplitPicker();
    private final double mSplitStart = mRandom.nextDouble();
    private final Map<String, SharedRetryBudget> mRetryBudgets = new HashMap<>();
    private final Map<String, Long> mLastRequestNanos = new HashMap<>();
    private final Map<String, HedgeDelay> mHedgeDelays = new HashMap<>();
    private final AnswerReservations mAnswers;
    private final EntryLink mEntryLink;
    private final Set<String> mReplacedHeaders;
    private final Set<String> mReplacedWithAccounts;
    private final @Nullable Hedges mHedges;
    private final StopLimit mStopLimit = new StopLimit();
    private String mCallerService;
    private long mNextId = 1;
    private int mCalls;
    private @Nullable QuotaService mQuota;
    private boolean mStopping;
    private @Nullable RolloutService mRollouts;

    /**
     * Creates a router.
     *
     * @param loop the event loop of the node
     * @param settings the settings of this node
     * @param dialect the header names
     * @param configs the configuration in force
     * @param directory the known nodes
     * @param dispatcher sends calls to the backend server behind this node
     * @param suspects the requests under which backend servers crashed
     * @param pauses detects pauses of this process
     * @param log logs calls
     * @param metrics where metrics are registered
     */
    public CallRouter(
            EventLoop loop,
            SidecarSettings settings,
            Dialect dialect,
            ConfigHolder configs,
            NodeDirectory directory,
            BackendDispatcher dispatcher,
            SuspectTracker suspects,
            PauseDetector pauses,
            CallLog log,
            MetricRegistry metrics) {
        mLoop = loop;
        mSettings = settings;
        mDialect = dialect;
        mReplacedHeaders =
                Set.of(
                        dialect.callerService(),
                        dialect.deadlineMillis(),
                        dialect.expectedInstance());
        mReplacedWithAccounts = new HashSet<>(mReplacedHeaders);
        mReplacedWithAccounts.add(dialect.accountKey());
        mReplacedWithAccounts.add(dialect.account());
        mConfigs = configs;
        mDirectory = directory;
        mSelector = new EndpointSelector(mRandom, directory::demandRemote);
        mDispatcher = dispatcher;
        mEntryLink = new EntryLink(dispatcher.link());
        mAnswers = new AnswerReservations(settings.callers().maxAnswerBytes(), mEntryLink);
        mSuspects = suspects;
        mPauses = pauses;
        mLog = log;
        mMetrics = new CallMetrics(metrics);
        HedgeLimit hedgeLimit = settings.features().hedge();
        mHedges = hedgeLimit == null ? null : new Hedges(hedgeLimit, metrics);
        mCallerService = settings.service();
    }

    /** Sets the service that this node reports as the caller. */
    public void updateCallerService(String service) {
        mCallerService = service;
    }

    /** Sets what gives the requests of limited accounts their tokens. */
    public void attach(QuotaService quota) {
        mQuota = quota;
    }

    /** Returns the quotas, or null if there are none. */
    @Nullable QuotaService quota() {
        return mQuota;
    }

    /** Returns the number of running calls. */
    public int calls() {
        return mCalls;
    }

    /** Refuses all calls that start from now on, as the node is shutting down. */
    public void refuseNewCalls() {
        mStopping = true;
    }

    /**
     * Records that a planned stop has begun, in which no request is sent that is likely to outlast
     * it.
     *
     * @param endNanos when the node ends, on the steady clock
     */
    public void stopAt(long endNanos) {
        mStopLimit.stopAt(endNanos);
    }

    /** Returns whether a request may be sent, which a planned stop limits. */
    boolean maySend(RouteRule route, long leftMillis) {
        return !mStopLimit.stopping()
                || mStopLimit.allows(hedgeMillis(route, 0), leftMillis, System.nanoTime());
    }

    /** Hedges no further requests, as a planned stop begins. */
    void stopHedging() {
        if (mHedges != null) {
            mHedges.stop();
        }
    }

    /**
     * Counts a call that starts towards the limit of hedged requests and returns what hedges it, or
     * null if it is not hedged.
     */
    @Nullable Hedge hedge(RouteRule route, String service, Hedge.Owner owner) {
        boolean mayRepeat = route.idempotent() && route.maxAttempts() > 1;
        if (mHedges == null) {
            return mayRepeat ? new DefaultHedge(this, route, service, owner) : null;
        }
        mHedges.limiter(service).onRequest(mAnswers.expectedBytes(route.name()), System.nanoTime());
        return mayRepeat ? new LimitedHedge(this, mHedges, route, service, owner) : null;
    }

    /** Returns this node's view of all backend servers. */
    Collection<EndpointState> endpoints() {
        return mDirectory.endpoints();
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

    CallerLimits callerLimits() {
        return mSettings.callers();
    }

    CallMetrics metrics() {
        return mMetrics;
    }

    SuspectTracker suspects() {
        return mSuspects;
    }

    CallLog log() {
        return mLog;
    }

    /**
     * Returns the headers to forward with a request, with the caller's service set by this node.
     *
     * @param keyed whether the headers of client accounts are removed
     */
    List<String> forwardedHeaders(HttpHeaders received, boolean keyed) {
        List<String> headers =
                HeaderList.endToEnd(received, keyed ? mReplacedWithAccounts : mReplacedHeaders);
        headers.add(mDialect.callerService());
        headers.add(mCallerService);
        return headers;
    }

    /**
     * Returns whether no call may begin under the configuration in force, as it has not been
     * confirmed for too long.
     */
    public boolean configExpired() {
        return mConfigs.expired(System.nanoTime());
    }

    /** Returns whether the configuration in force is likely to be confirmed in a moment. */
    boolean awaitsConfirmation() {
        return configExpired()
                && (late() || mConfigs.expiredWithin(CONFIRMATION_NANOS, System.nanoTime()));
    }

    /** Returns the refusal of a call if none may begin under the configuration in force. */
    @Nullable AttemptFailure unconfirmed() {
        return configExpired() ? outdated("the configuration has not been confirmed lately") : null;
    }

    /** Returns whether a newer configuration than the one in force may have been accepted. */
    private boolean configMayBeOutdated() {
        long applyNanos = TimeUnit.MILLISECONDS.toNanos(mSettings.configApplyMillis());
        return mConfigs.mayBeOutdated(System.nanoTime(), applyNanos);
    }

    /**
     * Returns the refusal of a call that the configuration in force does not know, such as one
     * without a route: final, or one that the caller repeats if a newer configuration may know it.
     *
     * @param code the reason of a final refusal
     */
    AttemptFailure unknown(ErrorCode code, String detail) {
        return configMayBeOutdated()
                ? outdated(detail + ", and the configuration may be outdated")
                : AttemptFailure.notSent(code, detail);
    }

    private static AttemptFailure outdated(String detail) {
        return new AttemptFailure(
                Verdict.NOT_RUN, ErrorCode.NOT_READY, false, OUTDATED_RETRY_MILLIS, detail);
    }

    /**
     * Returns how long a request may take: the deadline of its caller or the timeout of its route,
     * whichever is shorter.
     */
    long allowedMillis(HttpHeaders received, RouteRule route, String requestId) {
        String text = received.get(mDialect.deadlineMillis());
        if (text == null) {
            return route.timeoutMillis();
        }
        try {
            return Math.min(Long.parseLong(text.trim()), route.timeoutMillis());
        } catch (NumberFormatException e) {
            mLog.failure(
                    SidecarEvent.CALLER_MALFORMED, requestId, "deadline is not a number: " + text);
            return route.timeoutMillis();
        }
    }

    /** Returns the route of a request, or null if there is none. */
    @Nullable RouteRule findRoute(RoutingConfig config, HttpRequest request) {
        return config.findRoute(host(request), request.uri());
    }

    /** Returns the Host header of a request, or an empty string. */
    static String host(HttpRequest request) {
        String host = request.headers().get(HttpHeaderNames.HOST);
        return host == null ? "" : host;
    }

    @Nullable RoutingConfig config() {
        return mConfigs.current();
    }

    /**
     * Returns when a request that is read now arrived, on the steady clock. After a pause of the
     * process it may have waited as long as that.
     */
    long arrivalNanos() {
        long now = System.nanoTime();
        return now - mPauses.delayNanos(now, System.currentTimeMillis());
    }

    /** Returns whether the caller of a request that is read now may have left already. */
    boolean late() {
        return mPauses.late(System.nanoTime(), System.currentTimeMillis());
    }

    void callBegun() {
        mCalls++;
    }

    void callEnded() {
        mCalls--;
    }

    long nextId() {
        return mNextId++;
    }

    /** Returns a random number from 0 to 1, to spread retries over time. */
    double random() {
        return mRandom.nextDouble();
    }

    /** Chooses the service for the next request of a route by the route's traffic split. */
    String nextService(RouteRule route) {
        return mSplitPicker.next(route, mSplitStart);
    }

    /** Records that a request of a route was refused without having run. */
    void recordRefusal(RouteRule route, String service) {
        mSplitPicker.onRefusal(route, service);
    }

    /** Counts a request for a service towards its retry budget. */
    void recordRequest(String service) {
        long now = System.nanoTime();
        long last = mLastRequestNanos.getOrDefault(service, now);
        mLastRequestNanos.put(service, now);
        double window = mSettings.retries().windowMillis() * NANOS_PER_MILLI;
        retryBudget(service).onRequest(mDirectory.shareHolders().members(), (now - last) / window);
    }

    /** Takes one retry from a service's budget; returns false if none is left. */
    boolean tryAcquireRetry(String service) {
        return retryBudget(service).tryTake();
    }

    /** Returns whether a backend server announces in an answer that it is leaving. */
    boolean announcesLeaving(BackendAnswer answer) {
        return BackendAnswer.LEAVING.equals(answer.header(mDialect.leaving()));
    }

    /** Sets the roll-outs that decide which versions of a service get requests. */
    public void routeByVersion(RolloutService rollouts) {
        mRollouts = rollouts;
    }

    /** Chooses the versions for a new call; returns null if all servers may serve it. */
    @Nullable CallVersions versions(String service, String route) {
        return mRollouts == null ? null : mRollouts.begin(service, route);
    }

    /** Counts an attempt for the roll-out of its service; returns null if there is none. */
    EvidenceCounter.@Nullable Observation observe(EndpointState endpoint, HopCall call) {
        return mRollouts == null ? null : mRollouts.sent(endpoint, call.service(), call.route());
    }

    /**
     * Chooses an endpoint for a request; returns null if no backend server accepts it.
     *
     * @param candidates the endpoints to choose from
     * @param versions the versions that may serve it; null for all
     */
    @Nullable EndpointState choose(
            Collection<EndpointState> candidates,
            RouteRule route,
            String service,
            Set<String> tried,
            @Nullable CallVersions versions) {
        if (versions == null) {
            return choose(candidates, route, service, tried);
        }
        EndpointState preferred = choose(versions.preferred(candidates), route, service, tried);
        return preferred == null
                ? choose(versions.ofMain(candidates), route, service, tried)
                : preferred;
    }

    private @Nullable EndpointState choose(
            Collection<EndpointState> endpoints,
            RouteRule route,
            String service,
            Set<String> tried) {
        double bytes = mAnswers.expectedBytes(route.name());
        EndpointState own = mDirectory.ownEndpoint();
        long now = System.nanoTime();
        own.observeLoad(mDispatcher.load(), now);
        return mSelector.choose(
                endpoints,
                new EndpointSelector.Request(
                        service, route.name(), route.rank(), route.targetMillis(), bytes, tried),
                now);
    }

    /** Returns what is reserved for the answers to callers. */
    AnswerReservations answers() {
        return mAnswers;
    }

    /**
     * Returns the time without an answer after which a request of a route is hedged.
     *
     * @param waiting the number of requests that wait for it on its connection
     */
    long hedgeMillis(RouteRule route, int waiting) {
        return HeadOfLinePolicy.delayMillis(hedgeDelay(route), route.targetMillis(), waiting);
    }

    /** Records the size and duration of an answer that is sent to its caller. */
    void recordAnswer(RouteRule route, BackendAnswer answer, long millis) {
        mEntryLink.answerSent(route, answer, millis);
        mAnswers.answered(route.name(), answer.body().length);
        hedgeDelay(route).observe(millis);
    }

    /**
     * Sends a request to an endpoint: to the dispatcher if it is that of this node, otherwise over
     * the link to its node.
     */
    Attempt send(EndpointState endpoint, HopCall call, Attempt.Listener listener) {
        if (endpoint == mDirectory.ownEndpoint()) {
            return mDispatcher.submit(call, listener);
        }
        HopLink link = mDirectory.link(endpoint.node());
        if (link == null) {
            throw new IllegalStateException("no link to " + endpoint.node());
        }
        mEntryLink.requestSent(call);
        return link.call(call, listener);
    }

    private HedgeDelay hedgeDelay(RouteRule route) {
        return mHedgeDelays.computeIfAbsent(route.name(), name -> new HedgeDelay());
    }

    private SharedRetryBudget retryBudget(String service) {
        return mRetryBudgets.computeIfAbsent(
                service,
                name ->
                        new SharedRetryBudget(
                                mSettings.retries().ratio(), mSettings.retries().reserve()));
    }
}
