package org.azurearch.sidecar.internal.rollout;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.NodeRecord;
import org.azurearch.sidecar.member.NodeTable;
import org.azurearch.sidecar.rollout.EvidenceCounter.Observation;
import org.azurearch.sidecar.rollout.ExposureBudget;
import org.azurearch.sidecar.rollout.RolloutCodec;
import org.azurearch.sidecar.rollout.RolloutOrder;
import org.azurearch.sidecar.rollout.RolloutState;
import org.azurearch.sidecar.rollout.VersionRouter;
import org.azurearch.sidecar.store.KeyedLog;
import org.azurearch.sidecar.store.KeyedRecord;
import org.azurearch.sidecar.store.KeyedRecords;
import org.azurearch.thrift.WireRolloutMessage;

/** Nodes with the real roll-out classes on a manual clock, over a log in memory. */
final class RolloutCluster {
    static final String SERVICE = "boards";
    static final long DURATION = 12_000;

    private static final long TICK_MILLIS = 100;
    private static final long PAUSE_MILLIS = 600;
    private static final int REQUESTS_PER_TICK = 4;
    private static final double FAILURES = 0.3;

    /** Decides whether an answer of a version may be a failure. */
    interface Fault {
        boolean hits(String version, long now);
    }

    /** A node with its own view of the roll-out. */
    final class Node {
        private final String mName;
        private final NodeTable mTable;
        private final ServiceRollout mRollout;
        private final RolloutLead mLead;
        private final List<Observation> mPending = new ArrayList<>();
        private final List<Boolean> mFailures = new ArrayList<>();
        private long mTicked = mNow;
        private boolean mFrozen;
        private long mLastSentToTarget = -1;

        private Node(String name) {
            mName = name;
            mTable = new NodeTable(name);
            mServers.values().forEach(server -> mTable.merge(server, 0));
            mRollout =
                    new ServiceRollout(
                            SERVICE,
                            name,
                            mNow,
                            mTable,
                            new ExposureBudget(0.1, 50),
                            mRandom.split(),
                            mNow);
            mLead =
                    new RolloutLead(
                            new RolloutStore(mLog, new TextCodec()),
                            message -> broadcast(this, message),
                            () -> mNow);
        }

        private void tick() {
            if (mNow - mTicked > PAUSE_MILLIS) {
                mRollout.leadership().paused(mNow);
            }
            mTicked = mNow;
            mRollout.leadership().candidates(candidates(this));
            for (int i = 0; i < mPending.size(); i++) {
                mPending.get(i).answered(mFailures.get(i), mNow);
            }
            mPending.clear();
            mFailures.clear();
            for (int i = 0; i < REQUESTS_PER_TICK; i++) {
                request();
            }
            mRollout.tick(mNow);
            mLead.tick(mRollout, mNow, mNow % (2 * TICK_MILLIS) == 0);
            for (Node other : mNodes) {
                if (reaches(this, other)) {
                    other.mRollout.merge(mRollout.orderId(), mRollout.counter().snapshot());
                }
            }
        }

        private void request() {
            VersionRouter.Permit permit = mRollout.permit();
            boolean target = permit != null && mRollout.choose(permit, "route", mNow).toTarget();
            String main = permit == null ? "v1" : permit.main();
            String version = target ? permit.target() : main;
            mSent.merge(version, 1, Integer::sum);
            if (target) {
                mLastSentToTarget = mNow;
            }
            if (mRollout.active()) {
                mRollout.counter().request();
                List<String> of = new ArrayList<>();
                mServers.forEach(
                        (node, server) -> {
                            if (server.backend().version().equals(version)) {
                                of.add(node);
                            }
                        });
                String server = of.get(mRandom.nextInt(of.size()));
                mPending.add(mRollout.counter().sent(server, "route", target, false, mNow));
                mFailures.add(mFault.hits(version, mNow) && mRandom.nextDouble() < FAILURES);
            }
        }

        private void received(Node sender, WireRolloutMessage message) {
            RolloutState state = RolloutWire.fromWire(message.getStates().get(0));
            mRollout.reported(state, sender.mName, !message.isStoreDown(), mNow);
        }

        RolloutState state() {
            return mRollout.state(mNow);
        }

        boolean leads() {
            return mRollout.active() && mRollout.leadership().leads(mNow);
        }

        /** Returns whether any of the next 100 requests would go to the target version. */
        boolean usesTarget() {
            VersionRouter.Permit permit = mRollout.permit();
            boolean target = false;
            for (int i = 0; i < 100 && permit != null; i++) {
                target |= mRollout.choose(permit, "route", mNow).toTarget();
            }
            return target;
        }

        long lastSentToTarget() {
            return mLastSentToTarget;
        }

        void freeze(boolean frozen) {
            mFrozen = frozen;
        }
    }

    private final SplittableRandom mRandom = new SplittableRandom(1);
    private final MemoryLog mLog = new MemoryLog();
    private final Map<String, NodeRecord> mServers = new LinkedHashMap<>();
    private final List<Node> mNodes = new ArrayList<>();
    private final Map<String, Integer> mSent = new LinkedHashMap<>();
    private final Set<Node> mCutOff = new HashSet<>();
    private Fault mFault = (version, now) -> false;
    private long mNow = TICK_MILLIS;

    /** Adds servers of a version, before the nodes are started. */
    RolloutCluster servers(String version, int count, long startedMillis) {
        for (int i = 0; i < count; i++) {
            String node = version + "-" + i;
            BackendRecord backend =
                    new BackendRecord(
                            SERVICE, node, 13, true, 0, -1, startedMillis, false, version);
            NetAddress address = new NetAddress("127.0.0.1", 1);
            mServers.put(node, new NodeRecord(node, "a", address, 1, 1, false, true, backend));
        }
        return this;
    }

    RolloutCluster fault(Fault fault) {
        mFault = fault;
        return this;
    }

    /** Starts nodes without any state; those that ran before are gone. */
    RolloutCluster start(int count) {
        mNodes.clear();
        for (int i = 0; i < count; i++) {
            mNodes.add(new Node("n" + i));
        }
        return this;
    }

    RolloutCluster order(String version, long id) {
        RolloutOrder order = new RolloutOrder(SERVICE, version, DURATION, id);
        mNodes.forEach(node -> node.mRollout.order(order, mNow));
        return this;
    }

    /** Separates nodes from the others; all of them reach the store. */
    void cutOff(List<Node> nodes) {
        mCutOff.clear();
        mCutOff.addAll(nodes);
    }

    /** Advances the clock to a time. */
    RolloutCluster runTo(long millis) {
        for (; mNow <= millis; mNow += TICK_MILLIS) {
            for (Node node : mNodes) {
                if (!node.mFrozen) {
                    node.tick();
                }
            }
        }
        return this;
    }

    /** Advances the clock while a condition does not hold, to a time at the latest. */
    RolloutCluster runUntil(LongPredicate condition, long millis) {
        while (mNow < millis && !condition.test(mNow)) {
            runTo(mNow);
        }
        return this;
    }

    private boolean reaches(Node from, Node to) {
        return from != to && !to.mFrozen && mCutOff.contains(from) == mCutOff.contains(to);
    }

    private List<String> candidates(Node node) {
        return mNodes.stream()
                .filter(other -> mCutOff.contains(node) == mCutOff.contains(other))
                .map(other -> other.mName)
                .toList();
    }

    private void broadcast(Node sender, WireRolloutMessage message) {
        for (Node node : mNodes) {
            if (reaches(sender, node)) {
                node.received(sender, message);
            }
        }
    }

    long now() {
        return mNow;
    }

    List<Node> nodes() {
        return mNodes;
    }

    int sent(String version) {
        return mSent.getOrDefault(version, 0);
    }

    /** Returns the saved states in their order. */
    List<RolloutState> saved() {
        return mLog.mRecords.get(KeyedLog.Stream.ROLLOUTS).stream()
                .map(record -> SavedStates.decode(record.value()))
                .toList();
    }

    /** Returns the written status records in their order. */
    List<String> statuses() {
        return mLog.mRecords.get(KeyedLog.Stream.STATUS).stream()
                .map(record -> new String(record.value(), StandardCharsets.UTF_8))
                .toList();
    }

    private static final class TextCodec implements RolloutCodec {
        @Override
        public String keyPrefix() {
            return "rollout/";
        }

        @Override
        public RolloutOrder decode(String service, byte[] content, long id) {
            throw new UnsupportedOperationException();
        }

        @Override
        public byte[] status(RolloutState state) {
            String verdict = state.verdict().isFinal() ? state.verdict().name() : "RUNNING";
            return (verdict + " " + state.targetVersion()).getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public boolean isFinal(byte[] status, String targetVersion) {
            String text = new String(status, StandardCharsets.UTF_8);
            return text.endsWith(" " + targetVersion) && !text.startsWith("RUNNING");
        }
    }

    private static final class MemoryLog implements KeyedLog {
        private final long mCreatedNanos = System.nanoTime() - TimeUnit.MINUTES.toNanos(1);

        @Override
        public CompletableFuture<Long> endOffset(Stream stream) {
            return CompletableFuture.completedFuture(0L);
        }

        @Override
        public long lastReceivedNanos() {
            return mCreatedNanos;
        }

        private final Map<Stream, List<KeyedRecord>> mRecords = new LinkedHashMap<>();

        private MemoryLog() {
            for (Stream stream : Stream.values()) {
                mRecords.put(stream, new ArrayList<>());
            }
        }

        @Override
        public CompletableFuture<KeyedRecords> newest(Stream stream) {
            Map<String, KeyedRecord> newest = new LinkedHashMap<>();
            mRecords.get(stream).forEach(record -> newest.put(record.key(), record));
            int end = mRecords.get(stream).size();
            return CompletableFuture.completedFuture(
                    new KeyedRecords(List.copyOf(newest.values()), end));
        }

        @Override
        public CompletableFuture<KeyedRecords> read(Stream stream, long offset, Duration wait) {
            return CompletableFuture.failedFuture(new UnsupportedOperationException());
        }

        @Override
        public CompletableFuture<Void> append(Stream stream, String key, byte[] value) {
            return appendAt(stream, key, value, mRecords.get(stream).size());
        }

        @Override
        public CompletableFuture<Void> appendAt(
                Stream stream, String key, byte[] value, long endOffset) {
            List<KeyedRecord> records = mRecords.get(stream);
            if (records.size() != endOffset) {
                return CompletableFuture.failedFuture(
                        new AzurearchException(ErrorCode.CONFLICT, "the stream is longer"));
            }
            records.add(new KeyedRecord(key, value, endOffset));
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public void close() {}
    }
}
