package org.azurearch.internal.call;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.azurearch.call.CallFailure;
import org.azurearch.errors.ErrorCode;
import org.azurearch.internal.admit.BackendAdmission;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.NodeId;
import org.azurearch.lib.ServiceId;
import org.azurearch.lib.Verdict;
import org.azurearch.member.Announcement;
import org.azurearch.member.Member;
import org.azurearch.route.ChoiceContext;
import org.azurearch.route.EndpointLoad;
import org.azurearch.route.RetryBudget;
import org.azurearch.route.Route;
import org.azurearch.route.RouteTable;
import org.jspecify.annotations.Nullable;

/**
 * An event loop with the state confined to it: connections, calls and the observed load of
 * endpoints. A call stays on one worker from start to end. Other threads hand over tasks through
 * {@link #run}.
 */
final class CallWorker {
    private static final int NONCE_BYTES = 16;
    private static final int MIN_BACKEND_CONNECTIONS = 2;

    private record ServiceKey(FirmId firm, ServiceId service) {}

    private record HopKey(NetAddress address, NodeId node) {}

    private final EventLoop mEventLoop;
    private final DataPath mPath;
    private final SplittableRandom mRandom;
    private final SecureRandom mSecureRandom = new SecureRandom();
    private final MeshKeys.Signer mSigner;
    private final Map<BackendKey, ConnectionPool> mBackendPools = new HashMap<>();
    private final Map<HopKey, ConnectionPool> mHopPools = new HashMap<>();
    private final Map<ServiceKey, ServiceLoads> mServices = new HashMap<>();
    private final Set<CallerHandler> mCallers = new HashSet<>();
    private final Set<InboundCall> mCalls = new HashSet<>();

    CallWorker(EventLoop eventLoop, DataPath path, long seed) {
        mEventLoop = eventLoop;
        mPath = path;
        mRandom = new SplittableRandom(seed);
        mSigner = path.keys().signer();
    }

    /** Runs a task on this worker's event loop; immediately if called on its thread. */
    void run(Runnable task) {
        if (mEventLoop.inEventLoop()) {
            task.run();
        } else {
            mEventLoop.execute(task);
        }
    }

    long wallMillis() {
        return mPath.time().wallMillis();
    }

    TicketRegistry tickets() {
        return mPath.tickets();
    }

    ClaimService claims() {
        return mPath.claims();
    }

    Optional<Member> member(NodeId node) {
        return mPath.members().member(node);
    }

    /** Returns the home node that claims a key, or null when no node is reachable. */
    @Nullable Member claimHome(String key) {
        List<Member> candidates =
                mPath.members().reachable(mPath.identity().dataCentre()).stream()
                        .filter(Member::takesCalls)
                        .toList();
        return ClaimHomes.of(candidates, key);
    }

    long nanos() {
        return mPath.time().nanos();
    }

    CallSettings settings() {
        return mPath.settings();
    }

    BackendAdmission admission() {
        return mPath.admission();
    }

    @Nullable RouteTable routes() {
        return mPath.routes().current();
    }

    boolean draining() {
        return mPath.draining();
    }

    boolean isSelf(NodeId node) {
        return mPath.identity().node().equals(node);
    }

    long nextCallId() {
        return mRandom.nextLong(Long.MAX_VALUE);
    }

    /** Returns the name of this node. */
    String nodeName() {
        return mPath.identity().node().name();
    }

    MeshKeys.Signer signer() {
        return mSigner;
    }

    /** Returns a new random nonce. */
    String nonce() {
        byte[] bytes = new byte[NONCE_BYTES];
        mSecureRandom.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /**
     * Creates the call for a request.
     *
     * @param fromNode whether the connection is authenticated as that of a node
     */
    InboundCall newCall(CallerHandler caller, HttpRequest request, boolean fromNode) {
        String hop = fromNode ? request.headers().get(HopHeaders.HOP) : null;
        if (hop != null) {
            return new DestinationCall(caller, this, request, HopRequest.fromString(hop));
        }
        String home = fromNode ? request.headers().get(HopHeaders.HOME) : null;
        return new EntryCall(
                caller, this, request, home == null ? null : HomeRequest.fromString(home));
    }

    /** Returns whether the backend server behind this node provides the service of a call. */
    boolean servesLocally(HopRequest hop) {
        Announcement announcement = admission().announcement();
        return announcement != null && hop.servedBy(announcement);
    }

    /** Chooses an endpoint, or returns null when there is none. */
    @Nullable EndpointLoad choose(Route route, Set<NodeId> excluded) {
        ChoiceContext context =
                new ChoiceContext(nanos(), mPath.time().wallMillis(), excluded, mRandom);
        return mPath.balancer()
                .choose(
                        loads(route)
                                .candidates(
                                        mPath.endpoints()
                                                .endpoints(route.firm(), route.service().id()),
                                        route),
                        context);
    }

    RetryBudget retryBudget(Route route) {
        return loads(route).retryBudget();
    }

    /** Records the failure of an endpoint, unless the endpoint only refused the call. */
    void recordFailure(Route route, EndpointLoad load, CallFailure failure) {
        boolean refused =
                failure.verdict() == Verdict.NOT_RUN
                        && failure.code() != ErrorCode.PEER_UNAVAILABLE
                        && failure.code() != ErrorCode.BACKEND_SERVER_FAILED;
        if (!refused) {
            loads(route).recordFailure(load, nanos());
        }
    }

    /** Returns the connection pool of the backend server. */
    ConnectionPool backendPool(Announcement announcement) {
        return mBackendPools.computeIfAbsent(
                BackendKey.of(announcement),
                key ->
                        new ConnectionPool(
                                key.address(),
                                mEventLoop,
                                mPath.backendLimit(announcement),
                                ConnectionSetup.PLAIN,
                                mPath.time()));
    }

    /**
     * Closes the connections to backend servers whose place another one has taken. If that one uses
     * the same address, the process of the earlier one is gone, so that the calls under way there
     * end, once the answers that have arrived are read.
     */
    void serverReplaced() {
        Announcement current = admission().announcement();
        if (current == null) {
            return;
        }
        for (BackendKey key : List.copyOf(mBackendPools.keySet())) {
            if (!key.equals(BackendKey.of(current))) {
                ConnectionPool pool = mBackendPools.remove(key);
                pool.close();
                if (key.address().equals(current.address())) {
                    NextPoll.runAfter(mEventLoop, pool::closeUsed);
                }
            }
        }
    }

    /** Returns the connection pool of a peer. */
    ConnectionPool hopPool(NetAddress address, NodeId node) {
        return mHopPools.computeIfAbsent(
                new HopKey(address, node),
                key ->
                        new ConnectionPool(
                                address,
                                mEventLoop,
                                mPath.hopLimit(),
                                mPath.hopSetup(this, node),
                                mPath.time()));
    }

    CrashMonitor crashMonitor() {
        return mPath.crashMonitor();
    }

    /** Handles that a backend server did not answer a request that it may have run. */
    void backendFailed(Announcement server, RequestFingerprint fingerprint) {
        mPath.backend().reportCallOutcome(false);
        CrashProbe.Listener probe = crashMonitor().connectionLost(server, fingerprint);
        if (probe != null) {
            new CrashProbe(mEventLoop, server.address(), probe).start(mPath.timers()::after);
        }
    }

    /** Handles that the backend server is unreachable. */
    void backendUnreachable() {
        mPath.backend().reportCallOutcome(false);
    }

    /** Counts a retry. */
    void recordRetry() {
        mPath.callMetrics().recordRetry();
    }

    /** Records a finished call. */
    void recordCall(@Nullable Route route, @Nullable ErrorCode code, long nanos) {
        mPath.callMetrics().record(route, code, nanos);
    }

    void add(CallerHandler caller) {
        mCallers.add(caller);
    }

    void remove(CallerHandler caller) {
        mCallers.remove(caller);
        mPath.connectionClosed();
    }

    void add(InboundCall call) {
        mCalls.add(call);
        mPath.callStarted();
    }

    void remove(InboundCall call) {
        if (mCalls.remove(call)) {
            mPath.callEnded();
        }
    }

    /** Fails calls whose deadline has passed. */
    void expireCalls() {
        if (mCalls.isEmpty()) {
            return;
        }
        long now = nanos();
        List.copyOf(mCalls).forEach(call -> call.checkDeadline(now));
    }

    /** Closes stalled and idle connections and keeps a few to the backend server open. */
    void maintainConnections() {
        long now = nanos();
        for (CallerHandler caller : List.copyOf(mCallers)) {
            long inactiveNanos = now - caller.lastActivityNanos();
            boolean slow =
                    caller.receiving() && inactiveNanos > allowedSenderNanos(caller.fromPeer());
            boolean idle = !caller.busy() && inactiveNanos > settings().idleTimeout().toNanos();
            if (slow || idle) {
                caller.abort();
            }
        }
        Announcement announcement = admission().announcement();
        if (announcement != null && !draining()) {
            backendPool(announcement).openAtLeast(MIN_BACKEND_CONNECTIONS);
        }
        mBackendPools.forEach(
                (key, pool) -> {
                    boolean inUse = announcement != null && key.equals(BackendKey.of(announcement));
                    pool.closeIdle(inUse ? MIN_BACKEND_CONNECTIONS : 0);
                });
        mHopPools.values().forEach(pool -> pool.closeIdle(0));
        mBackendPools.values().removeIf(pool -> pool.open() == 0);
        mHopPools.values().removeIf(pool -> pool.open() == 0);
    }

    /**
     * Returns how long a sender may stall. A peer gets more time than a caller: it closes the
     * connection of its caller first, who would otherwise be told of a failed peer.
     */
    private long allowedSenderNanos(boolean fromPeer) {
        Duration margin =
                fromPeer ? NettyCallServer.MAINTENANCE_INTERVAL.multipliedBy(2) : Duration.ZERO;
        return settings().senderTimeout().plus(margin).toNanos();
    }

    /** Closes callers' idle connections now and busy ones after their call. */
    void closeWhenIdle() {
        List.copyOf(mCallers).forEach(CallerHandler::closeWhenIdle);
    }

    private ServiceLoads loads(Route route) {
        return mServices.computeIfAbsent(
                new ServiceKey(route.firm(), route.service().id()),
                key -> new ServiceLoads(mPath.identity(), mPath.outlierPolicy()));
    }
}
