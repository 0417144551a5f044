package org.azurearch.internal.call;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import java.security.SecureRandom;
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
import org.azurearch.internal.admit.BackendGate;
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
 * One event loop and everything that is confined to it: its connections, its calls and what it
 * knows of the load of endpoints. A call stays on one lane from end to end.
 */
final class Lane {
    private static final int NONCE_BYTES = 16;
    private static final int WARM_CONNECTIONS = 2;

    private record ServiceKey(FirmId firm, ServiceId service) {}

    private record HopKey(NetAddress address, NodeId node) {}

    private final EventLoop mEventLoop;
    private final DataPath mPath;
    private final SplittableRandom mRandom;
    private final SecureRandom mSecureRandom = new SecureRandom();
    private final MeshKeys.Signer mSigner;
    private final Map<NetAddress, ConnectionPool> mBackendPools = new HashMap<>();
    private final Map<HopKey, ConnectionPool> mHopPools = new HashMap<>();
    private final Map<ServiceKey, ServiceLoads> mServices = new HashMap<>();
    private final Set<CallerHandler> mCallers = new HashSet<>();
    private final Set<InboundCall> mCalls = new HashSet<>();

    Lane(EventLoop eventLoop, DataPath path, long seed) {
        mEventLoop = eventLoop;
        mPath = path;
        mRandom = new SplittableRandom(seed);
        mSigner = path.keys().signer();
    }

    /** Runs a task on this lane, at once when this is its thread. */
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

    TicketDesk tickets() {
        return mPath.tickets();
    }

    ClaimService claims() {
        return mPath.claims();
    }

    Optional<Member> member(NodeId node) {
        return mPath.members().member(node);
    }

    /** Returns the node that claims a key, or null when none is known. */
    @Nullable Member claimHome(String key) {
        List<Member> homes =
                mPath.members().reachable(mPath.identity().dataCentre()).stream()
                        .filter(Member::takesCalls)
                        .toList();
        return ClaimHomes.of(homes, key);
    }

    long nanos() {
        return mPath.time().nanos();
    }

    CallSettings settings() {
        return mPath.settings();
    }

    BackendGate gate() {
        return mPath.gate();
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
    String self() {
        return mPath.identity().node().name();
    }

    MeshKeys.Signer signer() {
        return mSigner;
    }

    /** Returns a text that nobody can foresee. */
    String nonce() {
        byte[] bytes = new byte[NONCE_BYTES];
        mSecureRandom.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /**
     * Returns the call that a request begins.
     *
     * @param fromNode whether the connection has been proved to come from a node
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

    /** Says whether the backend server behind this node is of the service that a call is for. */
    boolean servesLocally(HopRequest hop) {
        Announcement announcement = gate().announcement();
        return announcement != null
                && announcement.firm().name().equals(hop.firm())
                && announcement.service().name().equals(hop.service());
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

    /** Notes that an endpoint failed, unless it only refused. */
    void failed(Route route, EndpointLoad load, CallFailure failure) {
        boolean refused =
                failure.verdict() == Verdict.NOT_RUN
                        && failure.code() != ErrorCode.PEER_UNAVAILABLE
                        && failure.code() != ErrorCode.BACKEND_SERVER_FAILED;
        if (!refused) {
            loads(route).failed(load, nanos());
        }
    }

    /** Returns the connections to the backend server. */
    ConnectionPool backendPool(Announcement announcement) {
        return mBackendPools.computeIfAbsent(
                announcement.address(),
                address ->
                        new ConnectionPool(
                                address,
                                mEventLoop,
                                mPath.backendLimit(announcement),
                                ConnectionSetup.PLAIN,
                                mPath.time()));
    }

    /** Returns the connections to another node. */
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

    CrashWatch crashWatch() {
        return mPath.crashWatch();
    }

    /** Takes note that the backend server failed to answer a request that it may have run. */
    void backendFailed(RequestPrint print) {
        mPath.backend().reportCallOutcome(false);
        Announcement announcement = gate().announcement();
        if (announcement != null && crashWatch().lost(print)) {
            new CrashProbe(mEventLoop, announcement.address(), crashWatch()).start(mPath.timers());
        }
    }

    /** Takes note that the backend server cannot be reached. */
    void backendUnreachable() {
        mPath.backend().reportCallOutcome(false);
    }

    /** Counts a further attempt of a call. */
    void retried() {
        mPath.callMetrics().retried();
    }

    /** Counts a call that has ended. */
    void measure(@Nullable Route route, @Nullable ErrorCode code, long nanos) {
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

    /** Ends calls whose deadline has passed. */
    void tick() {
        if (mCalls.isEmpty()) {
            return;
        }
        long now = nanos();
        List.copyOf(mCalls).forEach(call -> call.checkDeadline(now));
    }

    /** Closes connections that stand still. */
    void sweep() {
        long now = nanos();
        for (CallerHandler caller : List.copyOf(mCallers)) {
            long still = now - caller.progressNanos();
            boolean slow = caller.receiving() && still > settings().senderTimeout().toNanos();
            boolean idle = !caller.busy() && still > settings().idleTimeout().toNanos();
            if (slow || idle) {
                caller.abort();
            }
        }
        Announcement announcement = gate().announcement();
        if (announcement != null && !draining()) {
            backendPool(announcement).warm(WARM_CONNECTIONS);
        }
        mBackendPools.forEach(
                (address, pool) -> {
                    boolean inUse = announcement != null && address.equals(announcement.address());
                    pool.closeIdle(inUse ? WARM_CONNECTIONS : 0);
                });
        mHopPools.values().forEach(pool -> pool.closeIdle(0));
        mBackendPools.values().removeIf(pool -> pool.open() == 0);
        mHopPools.values().removeIf(pool -> pool.open() == 0);
    }

    /** Closes connections that carry no call; the others close after their call. */
    void closeIdle() {
        List.copyOf(mCallers).forEach(CallerHandler::closeWhenIdle);
    }

    private ServiceLoads loads(Route route) {
        return mServices.computeIfAbsent(
                new ServiceKey(route.firm(), route.service().id()),
                key -> new ServiceLoads(mPath.identity(), mPath.outliers()));
    }
}
