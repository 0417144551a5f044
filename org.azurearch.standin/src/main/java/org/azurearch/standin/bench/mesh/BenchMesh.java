package org.azurearch.standin.bench.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.NetAddress;
import org.azurearch.settings.SettingsSection;
import org.azurearch.standin.log.LogServer;
import org.azurearch.standin.proxy.FaultProxy;

/** A log, a fault proxy in front of it and nodes, all in this process and joined over loopback. */
public final class BenchMesh implements AutoCloseable {
    private static final NetAddress LOOPBACK_ANY_PORT = new NetAddress("127.0.0.1", 0);
    private static final String PEER_KEY =
            "6b8a3f51c0d94e27a5b1f0c3d2e4978811223344556677889900aabbccddeeff";
    private static final int LIFECYCLE_THREADS = 8;
    private static final long POLL_INTERVAL_NANOS = 1_000_000L;
    private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(60);

    private final MeshPlan mPlan;
    private final LogServer mLog;
    private final FaultProxy mLogProxy;
    private final LogAddressing mLogAddressing;
    private final List<MeshNode> mNodes = new ArrayList<>();

    /** Selects the address at which a node reaches the log. */
    @FunctionalInterface
    public interface LogAddressing {
        /**
         * Returns the address of the log in the settings of a node.
         *
         * @param plan the plan of the mesh
         * @param node the index of the node
         * @param log the address of the log server
         * @param proxy the fault proxy in front of the log
         */
        NetAddress addressFor(MeshPlan plan, int node, NetAddress log, FaultProxy proxy);
    }

    /** Starts a mesh whose nodes reach the log without the proxy. */
    public BenchMesh(MeshPlan plan) {
        this(plan, (meshPlan, node, log, proxy) -> log);
    }

    /**
     * Starts the log and one node of each data centre in turn, then the other nodes concurrently.
     */
    public BenchMesh(MeshPlan plan, LogAddressing addressing) {
        mPlan = plan;
        mLogAddressing = addressing;
        mLog = LogServer.start(LOOPBACK_ANY_PORT, plan.log());
        mLogProxy = FaultProxy.start(mLog.address());
        int seedNodes = Math.min(plan.nodes(), plan.dataCentres());
        for (int node = 0; node < seedNodes; node++) {
            mNodes.add(new MeshNode(settings(node)));
        }
        startConcurrently(seedNodes, plan.nodes());
    }

    /** Returns settings for a process that exchanges peer messages with the nodes of a mesh. */
    public static SettingsSection peerSettings() {
        Map<String, Object> peers = Map.of("listen", LOOPBACK_ANY_PORT.name(), "key", PEER_KEY);
        Map<String, Object> node =
                Map.of("mesh", "bench", "id", "standin", "dataCentre", "dc0", "region", "region0");
        return new SettingsSection("", Map.of("node", node, "peers", peers));
    }

    /** Returns the log server. */
    public LogServer log() {
        return mLog;
    }

    /** Returns the fault proxy in front of the log. */
    public FaultProxy logProxy() {
        return mLogProxy;
    }

    /** Returns the nodes in the order of their indexes. */
    public List<MeshNode> nodes() {
        return List.copyOf(mNodes);
    }

    /** Waits until every node sees every other node as reachable. */
    public void awaitJoined() {
        await(
                "every node reaches every other node",
                JOIN_TIMEOUT,
                () -> mNodes.stream().allMatch(this::reachesAll));
    }

    /** Waits until the record at an offset, or a later one, is in force on every node. */
    public void awaitInForce(long offset, Duration timeout) {
        await(
                "offset " + offset + " is in force",
                timeout,
                () -> mNodes.stream().allMatch(node -> node.hasInForce(offset)));
    }

    /** Stops the nodes of the given indexes concurrently and waits until they have closed. */
    public void stop(List<Integer> indexes) {
        ExecutorService stoppers = Executors.newFixedThreadPool(LIFECYCLE_THREADS);
        try {
            List<Future<?>> stopped = new ArrayList<>();
            indexes.forEach(node -> stopped.add(stoppers.submit(mNodes.get(node)::close)));
            stopped.forEach(BenchMesh::result);
        } finally {
            stoppers.shutdownNow();
        }
    }

    /** Starts stopped nodes again, concurrently, and waits until each has started. */
    public void restart(List<Integer> indexes) {
        ExecutorService starters = Executors.newFixedThreadPool(LIFECYCLE_THREADS);
        try {
            Map<Integer, Future<MeshNode>> started = new HashMap<>();
            for (int index : indexes) {
                SettingsSection settings = settings(index);
                started.put(index, starters.submit(() -> new MeshNode(settings)));
            }
            started.forEach((index, node) -> mNodes.set(index, result(node)));
        } finally {
            starters.shutdownNow();
        }
    }

    /**
     * Waits for a condition.
     *
     * @throws AzurearchException with {@code DEADLINE_EXCEEDED} if it does not hold in time
     */
    public static void await(String description, Duration timeout, BooleanSupplier condition) {
        long deadline = System.nanoTime() + timeout.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                throw new AzurearchException(
                        ErrorCode.DEADLINE_EXCEEDED,
                        "timed out after " + timeout + ": " + description);
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }

    @Override
    public void close() {
        try {
            List<Integer> all = new ArrayList<>();
            for (int node = 0; node < mNodes.size(); node++) {
                all.add(node);
            }
            stop(all);
        } finally {
            mLogProxy.close();
            mLog.close();
        }
    }

    private void startConcurrently(int from, int to) {
        ExecutorService starters = Executors.newFixedThreadPool(LIFECYCLE_THREADS);
        try {
            List<Future<MeshNode>> started = new ArrayList<>();
            for (int node = from; node < to; node++) {
                SettingsSection settings = settings(node);
                started.add(starters.submit(() -> new MeshNode(settings)));
            }
            started.forEach(node -> mNodes.add(result(node)));
        } finally {
            starters.shutdownNow();
        }
    }

    private SettingsSection settings(int node) {
        Map<String, Map<String, Object>> sections = new HashMap<>();
        sections.put(
                "node",
                Map.of(
                        "mesh",
                        "bench",
                        "id",
                        "node" + node,
                        "dataCentre",
                        mPlan.dataCentreOf(node),
                        "region",
                        mPlan.regionOf(node)));
        NetAddress logAddress = mLogAddressing.addressFor(mPlan, node, mLog.address(), mLogProxy);
        sections.put("log", Map.of("address", logAddress.name()));
        sections.put(
                "peers",
                Map.of("listen", LOOPBACK_ANY_PORT.name(), "key", PEER_KEY, "seeds", seeds(node)));
        sections.put("calls", Map.of("listen", LOOPBACK_ANY_PORT.name(), "threads", 1));
        sections.put("spread", Map.of("policy", mPlan.policy()));
        mPlan.sections()
                .forEach(
                        (name, values) -> {
                            Map<String, Object> merged =
                                    new HashMap<>(sections.getOrDefault(name, Map.of()));
                            merged.putAll(values);
                            sections.put(name, merged);
                        });
        return new SettingsSection("", sections);
    }

    /** Returns the first node of the same data centre, then the first node of the mesh. */
    private List<String> seeds(int node) {
        List<String> seeds = new ArrayList<>();
        int sameDataCentre = node % mPlan.dataCentres();
        if (sameDataCentre < mNodes.size() && sameDataCentre != node) {
            seeds.add(mNodes.get(sameDataCentre).peerAddress().name());
        }
        if (!mNodes.isEmpty() && node != 0) {
            seeds.add(mNodes.get(0).peerAddress().name());
        }
        return seeds;
    }

    private boolean reachesAll(MeshNode node) {
        return node.members().all().stream().filter(member -> member.reachable()).count()
                >= mNodes.size();
    }

    private static <T> T result(Future<T> future) {
        try {
            return future.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AzurearchException(ErrorCode.CANCELLED, "interrupted", e);
        } catch (ExecutionException e) {
            throw new AzurearchException(
                    ErrorCode.INTERNAL, "node failed to start or stop: " + e.getCause(), e);
        }
    }
}
