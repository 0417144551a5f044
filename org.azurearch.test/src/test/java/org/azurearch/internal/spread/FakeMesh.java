package org.azurearch.internal.spread;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.azurearch.fold.Change;
import org.azurearch.fold.ChangeCodec;
import org.azurearch.fold.Document;
import org.azurearch.fold.DocumentName;
import org.azurearch.junit.ManualTimerService;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.OperatorId;
import org.azurearch.lib.StreamId;
import org.azurearch.spread.SpreadPolicy;

/**
 * Several runners on a manual clock. Every duty step, message and timer runs on the test's thread,
 * in an order determined by the seed. Links and the log are fakes.
 */
final class FakeMesh {
    static final StreamId CHANGES = StreamId.fromString("m.changes");
    static final StreamId SNAPSHOTS = StreamId.fromString("m.snapshots");
    static final FirmId FIRM = FirmId.fromString("regie");

    private static final int MIN_ROUTE_DEADLINE_MILLIS = 2_000;
    private static final int SNAPSHOT_EVERY = 100;
    private static final String BASE =
            """
            azurearch: 1
            kind: base
            firm: regie
            classes: {interactive: {priority: 1}}
            policies: {read: {attempts: 2}}
            services:
              stock: {slots: 20, connections: 100}
            routes:
              check-stock: {path: /stock, methods: [GET], service: stock, class: interactive,
                            policy: read, idempotent: true, deadline: %dms}
            """;

    final ManualTimerService mTimers = new ManualTimerService();
    final FakeLog mLog = new FakeLog(mTimers);
    final Random mRandom;
    final SortedMap<String, FakeNode> mNodes = new TreeMap<>();
    final List<String> mTrace = new ArrayList<>();
    final SpreadSettings mSettings;
    long mPublished;
    double mLoss;
    double mDuplicates;

    /** Whether the link between two nodes is cut. */
    BiPredicate<FakeNode, FakeNode> mLinkCut = (a, b) -> false;

    /** Whether a node cannot reach the log. */
    Predicate<FakeNode> mLogCut = node -> false;

    FakeMesh(SpreadPolicy policy, long seed) {
        mRandom = new Random(seed);
        mSettings =
                new SpreadSettings(
                        policy,
                        2,
                        Duration.ofHours(2),
                        SNAPSHOT_EVERY,
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(1));
    }

    /** Starts nodes {@code DC-0} up to {@code DC-(count-1)} in a data centre. */
    void startNodes(String dataCentre, int count) {
        for (int i = 0; i < count; i++) {
            start(dataCentre, dataCentre + "-" + i);
        }
    }

    FakeNode start(String dataCentre, String name) {
        FakeNode node = new FakeNode(this, dataCentre, name, new MetricRegistry());
        mNodes.put(name, node);
        node.start();
        mNodes.values().forEach(FakeNode::membersChanged);
        return node;
    }

    void kill(String name) {
        mNodes.remove(name).kill();
        mNodes.values().forEach(FakeNode::membersChanged);
    }

    void membersChanged() {
        mNodes.values().forEach(FakeNode::membersChanged);
    }

    void run(long millis) {
        mTimers.advance(Duration.ofMillis(millis));
    }

    /** Runs until a condition holds and returns the elapsed time in milliseconds. */
    long runUntil(String description, long limitMillis, BooleanSupplier condition) {
        long start = mTimers.time().millis();
        while (!condition.getAsBoolean()) {
            if (mTimers.time().millis() - start >= limitMillis) {
                throw new AssertionError(
                        "not within " + limitMillis + " ms: " + description + "\n" + this);
            }
            run(10);
        }
        return mTimers.time().millis() - start;
    }

    boolean allAt(long offset) {
        return mNodes.values().stream().allMatch(node -> node.offset() == offset);
    }

    long converge(long offset, long limitMillis) {
        return runUntil("all at " + offset, limitMillis, () -> allAt(offset));
    }

    /** Appends a change directly to the log; it is accepted unless it conflicts with another. */
    long publish(String id) {
        int deadlineMillis = MIN_ROUTE_DEADLINE_MILLIS + mLog.end(CHANGES);
        return mLog.append(CHANGES, ChangeCodec.encode(change(id, mPublished++, deadlineMillis)));
    }

    static Change change(String id, long expectedVersion, int deadlineMillis) {
        return change(id, expectedVersion, deadlineMillis, "");
    }

    /** Returns a change of the base whose text ends with a comment. */
    static Change change(String id, long expectedVersion, int deadlineMillis, String comment) {
        byte[] text = (BASE.formatted(deadlineMillis) + comment).getBytes(StandardCharsets.UTF_8);
        return change(
                id,
                Change.Kind.PUBLISH,
                1,
                expectedVersion,
                List.of(Document.of(DocumentName.BASE, "base.yaml", text)));
    }

    static Change change(
            String id,
            Change.Kind kind,
            int ruleSet,
            long expectedVersion,
            List<Document> documents) {
        return new Change(
                ChangeId.fromString(id),
                kind,
                FIRM,
                OperatorId.fromString("ana"),
                ruleSet,
                expectedVersion,
                documents,
                List.of(),
                0,
                "",
                0);
    }

    void trace(String line) {
        mTrace.add("%7d %s".formatted(mTimers.time().millis(), line));
    }

    /** Returns the trace and the status of every node. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        mTrace.forEach(line -> text.append(line).append('\n'));
        mNodes.values().forEach(node -> text.append(node).append('\n'));
        return text.toString();
    }
}
