package org.azurearch.standin.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.DoubleBinaryOperator;
import java.util.function.DoubleUnaryOperator;

/**
 * Derives the resource needs of each role at the target size from measured figures. A need is empty
 * if a figure is missing.
 */
public final class CapacityModel {
    private static final String NODE_AS_PROXY = "node as proxy";
    private static final String CONVERGENCE = "convergence";
    private static final String STATE = "state";
    private static final String CALLS = "calls";
    private static final String HERD = "herd";
    private static final String PARTITION = "partition";
    private static final int READERS_PER_DATA_CENTRE = 2;
    private static final int RECORDS_PER_RESTART = 2;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MICROS_PER_CORE_PERCENT = MICROS_PER_SECOND / 100.0;
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final String LARGEST_MESH_PREFIX = "convergence.66nodes.";

    private final TargetSize mSize;
    private final Measurements mMeasured;

    /** Creates a model for a size from recorded figures. */
    public CapacityModel(TargetSize size, Measurements measured) {
        mSize = size;
        mMeasured = measured;
    }

    /** Returns the rows of all roles. */
    public List<CapacityRow> roles() {
        List<CapacityRow> rows = new ArrayList<>();
        addNodeControl(rows);
        addNodeMemoryAndCalls(rows);
        addReader(rows);
        addRelay(rows);
        addLog(rows);
        addOperator(rows);
        return List.copyOf(rows);
    }

    /** Returns the rows of the failure and recovery events that the requirements name. */
    public List<CapacityRow> events() {
        return List.of(
                newRow(
                        "data centre returns",
                        "until all are ready",
                        measured(HERD, "herd.one-data-centre.all-ready"),
                        "s",
                        OptionalDouble.empty(),
                        "herd: one-data-centre.all-ready, at the size of that run",
                        "peers first, full jitter, limit on serving"),
                newRow(
                        "data centre returns",
                        "reads of the log",
                        measured(HERD, "herd.one-data-centre.log-reads"),
                        "reads",
                        OptionalDouble.empty(),
                        "herd: one-data-centre.log-reads, at the size of that run",
                        "state comes from peers, not from the log"),
                newRow(
                        "whole mesh returns",
                        "until all are ready",
                        measured(HERD, "herd.whole-mesh.all-ready"),
                        "s",
                        OptionalDouble.empty(),
                        "herd: whole-mesh.all-ready, at the size of that run",
                        "first readers read the log, the others ask them"),
                newRow(
                        "data centre cut off from the log",
                        "until a change is in force",
                        measuredSecondsAsMillis(PARTITION, "partition.cut-from-log.in-force"),
                        "ms",
                        OptionalDouble.of(TargetSize.MAX_IN_FORCE_MILLIS),
                        "partition: cut-from-log.in-force",
                        "readers of different data centres pull from each other"),
                newRow(
                        "outage of the log",
                        "until a change is in force after it",
                        measuredSecondsAsMillis(PARTITION, "partition.log-healed.in-force"),
                        "ms",
                        OptionalDouble.of(TargetSize.MAX_IN_FORCE_MILLIS),
                        "partition: log-healed.in-force",
                        "readers retry with full jitter"),
                newRow(
                        "a rack goes",
                        "records that spread",
                        OptionalDouble.empty(),
                        "records",
                        OptionalDouble.empty(),
                        "no run of this event",
                        "failure detection within the data centre"));
    }

    private void addNodeControl(List<CapacityRow> rows) {
        String role = NODE_AS_PROXY;
        rows.add(
                newRow(
                        role,
                        "control, processor, quiet",
                        measured(CONVERGENCE, LARGEST_MESH_PREFIX + "steady.processor"),
                        "% of a core",
                        OptionalDouble.of(TargetSize.MAX_CONTROL_CORE_PERCENT),
                        "convergence: steady.processor at 66 nodes, log included",
                        "probing of one member a second, timers"));
        rows.add(
                newRow(
                        role,
                        "control, processor, all members new",
                        measured(STATE, "state.news.processor"),
                        "% of a core",
                        OptionalDouble.of(TargetSize.MAX_CONTROL_CORE_PERCENT),
                        "state: news.processor, stand-ins of all other members included",
                        "probes with piggybacked records"));
        rows.add(
                newRow(
                        role,
                        "control, bytes, quiet",
                        quietControlBytesPerSecond(),
                        "B/s",
                        OptionalDouble.of(TargetSize.MAX_CONTROL_BYTES_PER_SECOND),
                        "convergence: steady-bytes-by-nodes, intercept + slope x nodes;"
                                + " change.bytes x changes a second",
                        "one probe a second; push tree of deltas"));
        rows.add(
                newRow(
                        role,
                        "control, bytes sent, all members new",
                        measured(STATE, "state.news.sent"),
                        "B/s",
                        OptionalDouble.of(TargetSize.MAX_CONTROL_BYTES_PER_SECOND),
                        "state: news.sent",
                        "probes with a bounded number of piggybacked records"));
    }

    private void addNodeMemoryAndCalls(List<CapacityRow> rows) {
        String role = NODE_AS_PROXY;
        rows.add(
                newRow(
                        role,
                        "state, heap",
                        measured(STATE, "state.heap.total"),
                        "MiB",
                        OptionalDouble.of(TargetSize.MAX_MEMORY_MEBIBYTES),
                        "state: heap.total, stand-ins included",
                        "shared content of retained versions; one record for each member"));
        rows.add(
                newRow(
                        role,
                        "whole process, RSS",
                        measured(STATE, "state.rss"),
                        "MiB",
                        OptionalDouble.of(TargetSize.MAX_MEMORY_MEBIBYTES),
                        "state: rss of the experiment's process with stand-ins, an upper"
                                + " bound only with a heap as small as a node's",
                        "heap limit of the node"));
        rows.add(
                newRow(
                        role,
                        "calls, processor",
                        callsCorePercent(),
                        "% of a core",
                        OptionalDouble.empty(),
                        "calls: processor.azurearch-two-nodes.beyond-direct x calls to one server",
                        "one event loop for each call, pooled connections"));
        rows.add(
                newRow(
                        role,
                        "calls, latency added for 99 in 100",
                        measured(CALLS, "added.azurearch-two-nodes.p99"),
                        "ms",
                        OptionalDouble.of(TargetSize.MAX_ADDED_P99_MILLIS),
                        "calls: added.azurearch-two-nodes.p99",
                        "no aggregation of bodies"));
        rows.add(
                newRow(
                        role,
                        "change in force, p99",
                        measured(CONVERGENCE, LARGEST_MESH_PREFIX + "in-force.p99"),
                        "ms",
                        OptionalDouble.of(TargetSize.MAX_IN_FORCE_MILLIS),
                        "convergence: in-force.p99 at 66 nodes in 11 data centres",
                        "push tree: its depth grows with the logarithm of the data centre"));
    }

    private void addReader(List<CapacityRow> rows) {
        String role = "node as reader";
        rows.add(
                newRow(
                        role,
                        "bytes read from the log",
                        scaledFigure(
                                CONVERGENCE,
                                LARGEST_MESH_PREFIX + "change.log-bytes",
                                bytes -> bytes / readers() * mSize.changesPerSecond()),
                        "B/s",
                        OptionalDouble.of(TargetSize.MAX_CONTROL_BYTES_PER_SECOND),
                        "convergence: change.log-bytes / readers x changes a second",
                        "2 readers for each data centre by rendezvous hashing"));
        rows.add(
                newRow(
                        role,
                        "nodes that push to it or are pushed to",
                        OptionalDouble.of(mSize.nodesPerDataCentre()),
                        "nodes",
                        OptionalDouble.empty(),
                        "nodes / data centres",
                        "bounded fan-out tree"));
    }

    private void addRelay(List<CapacityRow> rows) {
        rows.add(
                newRow(
                        "relay between data centres",
                        "bytes",
                        OptionalDouble.empty(),
                        "B/s",
                        OptionalDouble.of(TargetSize.MAX_CONTROL_BYTES_PER_SECOND),
                        "not measured apart from the other duties of a node",
                        "2 relays for each data centre exchange digests, then differences"));
        rows.add(
                newRow(
                        "relay between data centres",
                        "records passed on by restarts",
                        OptionalDouble.of(mSize.restartsPerSecond() * RECORDS_PER_RESTART),
                        "records/s",
                        OptionalDouble.empty(),
                        "restarts a second x 2 (leave and return)",
                        "incarnations: a restart is one record, not a departure"));
    }

    private void addLog(List<CapacityRow> rows) {
        rows.add(
                newRow(
                        "log",
                        "appends by changes",
                        OptionalDouble.of(mSize.changesPerSecond()),
                        "appends/s",
                        OptionalDouble.of(TargetSize.MAX_LOG_APPENDS_PER_SECOND),
                        "changes a day / 86,400",
                        "one record for each change"));
        rows.add(
                newRow(
                        "log",
                        "reads by changes",
                        scaledFigure(
                                CONVERGENCE,
                                LARGEST_MESH_PREFIX + "change.log-reads",
                                reads -> reads * mSize.changesPerSecond()),
                        "reads/s",
                        OptionalDouble.empty(),
                        "convergence: change.log-reads at 11 data centres x changes a second",
                        "long polls of readers only; independent of nodes"));
        rows.add(
                newRow(
                        "log",
                        "reads more for each node",
                        measured(CONVERGENCE, "convergence.log-reads-by-nodes.slope"),
                        "reads/s",
                        OptionalDouble.empty(),
                        "convergence: log-reads-by-nodes.slope",
                        "readers, not nodes, read"));
    }

    private void addOperator(List<CapacityRow> rows) {
        rows.add(
                newRow(
                        "operator's endpoint",
                        "messages for one status of a change",
                        OptionalDouble.of((double) mSize.dataCentres() * READERS_PER_DATA_CENTRE),
                        "messages",
                        OptionalDouble.empty(),
                        "data centres x readers, at most",
                        "readers answer for their data centre"));
        rows.add(
                newRow(
                        "operator's endpoint",
                        "snapshot of all state",
                        measured(STATE, "state.snapshot.bytes"),
                        "B",
                        OptionalDouble.empty(),
                        "state: snapshot.bytes",
                        "compressed, content shared between versions"));
    }

    private OptionalDouble quietControlBytesPerSecond() {
        OptionalDouble steady =
                combineIfPresent(
                        measured(CONVERGENCE, "convergence.steady-bytes-by-nodes.intercept"),
                        measured(CONVERGENCE, "convergence.steady-bytes-by-nodes.slope"),
                        (intercept, slope) -> intercept + slope * mSize.nodes());
        OptionalDouble changes =
                scaledFigure(
                        CONVERGENCE,
                        LARGEST_MESH_PREFIX + "change.bytes",
                        bytes -> bytes * mSize.changesPerSecond());
        return combineIfPresent(steady, changes, Double::sum);
    }

    private OptionalDouble callsCorePercent() {
        return scaledFigure(
                CALLS,
                "processor.azurearch-two-nodes.beyond-direct",
                micros -> micros * mSize.callsPerNode() / MICROS_PER_CORE_PERCENT);
    }

    private double readers() {
        return mSize.dataCentres() * (double) READERS_PER_DATA_CENTRE;
    }

    private OptionalDouble measured(String record, String figure) {
        return mMeasured.figure(record, figure);
    }

    private OptionalDouble measuredSecondsAsMillis(String record, String figure) {
        return scaledFigure(record, figure, value -> value * MILLIS_PER_SECOND);
    }

    private OptionalDouble scaledFigure(String record, String figure, DoubleUnaryOperator scale) {
        OptionalDouble value = measured(record, figure);
        return value.isEmpty()
                ? value
                : OptionalDouble.of(scale.applyAsDouble(value.getAsDouble()));
    }

    private static OptionalDouble combineIfPresent(
            OptionalDouble first, OptionalDouble second, DoubleBinaryOperator combine) {
        if (first.isEmpty() || second.isEmpty()) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(combine.applyAsDouble(first.getAsDouble(), second.getAsDouble()));
    }

    private static CapacityRow newRow(
            String role,
            String need,
            OptionalDouble value,
            String unit,
            OptionalDouble limit,
            String source,
            String mechanism) {
        return new CapacityRow(role, need, value, unit, limit, source, mechanism);
    }
}
