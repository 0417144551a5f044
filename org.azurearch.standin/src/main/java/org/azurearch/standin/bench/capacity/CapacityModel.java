package org.azurearch.standin.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.DoubleBinaryOperator;
import java.util.function.DoubleUnaryOperator;

/** Works out what each role needs from measured figures. A missing figure gives an empty need. */
public final class CapacityModel {
    private static final String NODE_AS_PROXY = "node as proxy";
    private static final String CONVERGENCE = "convergence";
    private static final String STATE = "state";
    private static final String CALLS = "calls";
    private static final String HERD = "herd";
    private static final String PARTITION = "partition";
    private static final int READERS_PER_DATA_CENTRE = 2;
    private static final int BOTH_WAYS = 2;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MICROS_PER_CORE_PERCENT = MICROS_PER_SECOND / 100.0;
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final String LARGEST_MESH = "convergence.66nodes.";

    private final DesignSize mSize;
    private final Measurements mMeasured;

    /** Creates a model. */
    public CapacityModel(DesignSize size, Measurements measured) {
        mSize = size;
        mMeasured = measured;
    }

    /** Returns the needs of every role. */
    public List<CapacityRow> roles() {
        List<CapacityRow> rows = new ArrayList<>();
        addProxy(rows);
        addProxyMemoryAndCalls(rows);
        addReader(rows);
        addRelay(rows);
        addLog(rows);
        addOperator(rows);
        return List.copyOf(rows);
    }

    /** Returns what the events of the letters ask for. */
    public List<CapacityRow> events() {
        return List.of(
                row(
                        "data centre returns",
                        "until all are ready",
                        of(HERD, "herd.one-data-centre.all-ready"),
                        "s",
                        OptionalDouble.empty(),
                        "herd: one-data-centre.all-ready, at the size of that run",
                        "peers first, full jitter, limit on serving"),
                row(
                        "data centre returns",
                        "reads of the log",
                        of(HERD, "herd.one-data-centre.log-reads"),
                        "reads",
                        OptionalDouble.empty(),
                        "herd: one-data-centre.log-reads, at the size of that run",
                        "state comes from peers, not from the log"),
                row(
                        "whole mesh returns",
                        "until all are ready",
                        of(HERD, "herd.whole-mesh.all-ready"),
                        "s",
                        OptionalDouble.empty(),
                        "herd: whole-mesh.all-ready, at the size of that run",
                        "first readers read the log, the others ask them"),
                row(
                        "data centre cut off from the log",
                        "until a change is in force",
                        seconds(PARTITION, "partition.cut-from-log.in-force"),
                        "ms",
                        OptionalDouble.of(DesignSize.IN_FORCE_MILLIS),
                        "partition: cut-from-log.in-force",
                        "readers of different data centres pull from each other"),
                row(
                        "outage of the log",
                        "until a change is in force after it",
                        seconds(PARTITION, "partition.log-healed.in-force"),
                        "ms",
                        OptionalDouble.of(DesignSize.IN_FORCE_MILLIS),
                        "partition: log-healed.in-force",
                        "readers retry with full jitter"),
                row(
                        "a rack goes",
                        "records that spread",
                        OptionalDouble.empty(),
                        "records",
                        OptionalDouble.empty(),
                        "no run of this event",
                        "failure detection within the data centre"));
    }

    private void addProxy(List<CapacityRow> rows) {
        String role = NODE_AS_PROXY;
        rows.add(
                row(
                        role,
                        "control, processor, quiet",
                        of(CONVERGENCE, LARGEST_MESH + "steady.processor"),
                        "% of a core",
                        OptionalDouble.of(DesignSize.CONTROL_CORE_PERCENT),
                        "convergence: steady.processor at 66 nodes, log included",
                        "probing of one member a second, timers"));
        rows.add(
                row(
                        role,
                        "control, processor, all members new",
                        of(STATE, "state.news.processor"),
                        "% of a core",
                        OptionalDouble.of(DesignSize.CONTROL_CORE_PERCENT),
                        "state: news.processor, stand-ins of all other members included",
                        "probes with piggybacked records"));
        rows.add(
                row(
                        role,
                        "control, bytes, quiet",
                        controlBytes(),
                        "B/s",
                        OptionalDouble.of(DesignSize.CONTROL_BYTES_PER_SECOND),
                        "convergence: steady-bytes-by-nodes, intercept + slope x nodes;"
                                + " change.bytes x changes a second",
                        "one probe a second; push tree of deltas"));
        rows.add(
                row(
                        role,
                        "control, bytes sent, all members new",
                        of(STATE, "state.news.sent"),
                        "B/s",
                        OptionalDouble.of(DesignSize.CONTROL_BYTES_PER_SECOND),
                        "state: news.sent",
                        "probes with a bounded number of piggybacked records"));
    }

    private void addProxyMemoryAndCalls(List<CapacityRow> rows) {
        String role = NODE_AS_PROXY;
        rows.add(
                row(
                        role,
                        "state, heap",
                        of(STATE, "state.heap.total"),
                        "MiB",
                        OptionalDouble.of(DesignSize.MEMORY_MEBIBYTES),
                        "state: heap.total, stand-ins included",
                        "shared content of retained versions; one record for each member"));
        rows.add(
                row(
                        role,
                        "whole process, RSS",
                        of(STATE, "state.rss"),
                        "MiB",
                        OptionalDouble.of(DesignSize.MEMORY_MEBIBYTES),
                        "state: rss of the experiment's process with stand-ins, an upper"
                                + " bound only with a heap as small as a node's",
                        "heap limit of the node"));
        rows.add(
                row(
                        role,
                        "calls, processor",
                        callsCorePercent(),
                        "% of a core",
                        OptionalDouble.empty(),
                        "calls: processor.azurearch-two-nodes.beyond-direct x calls to one server",
                        "one event loop for each call, pooled connections"));
        rows.add(
                row(
                        role,
                        "calls, latency added for 99 in 100",
                        of(CALLS, "added.azurearch-two-nodes.p99"),
                        "ms",
                        OptionalDouble.of(DesignSize.ADDED_MILLIS),
                        "calls: added.azurearch-two-nodes.p99",
                        "no aggregation of bodies"));
        rows.add(
                row(
                        role,
                        "change in force, p99",
                        of(CONVERGENCE, LARGEST_MESH + "in-force.p99"),
                        "ms",
                        OptionalDouble.of(DesignSize.IN_FORCE_MILLIS),
                        "convergence: in-force.p99 at 66 nodes in 11 data centres",
                        "push tree: its depth grows with the logarithm of the data centre"));
    }

    private void addReader(List<CapacityRow> rows) {
        String role = "node as reader";
        rows.add(
                row(
                        role,
                        "bytes read from the log",
                        scaled(
                                CONVERGENCE,
                                LARGEST_MESH + "change.log-bytes",
                                bytes -> bytes / readers() * mSize.changesPerSecond()),
                        "B/s",
                        OptionalDouble.of(DesignSize.CONTROL_BYTES_PER_SECOND),
                        "convergence: change.log-bytes / readers x changes a second",
                        "2 readers for each data centre by rendezvous hashing"));
        rows.add(
                row(
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
                row(
                        "relay between data centres",
                        "bytes",
                        OptionalDouble.empty(),
                        "B/s",
                        OptionalDouble.of(DesignSize.CONTROL_BYTES_PER_SECOND),
                        "not measured apart from the other duties of a node",
                        "2 relays for each data centre exchange digests, then differences"));
        rows.add(
                row(
                        "relay between data centres",
                        "records passed on by restarts",
                        OptionalDouble.of(mSize.restartsPerSecond() * BOTH_WAYS),
                        "records/s",
                        OptionalDouble.empty(),
                        "restarts a second x 2 (leave and return)",
                        "incarnations: a restart is one record, not a departure"));
    }

    private void addLog(List<CapacityRow> rows) {
        rows.add(
                row(
                        "log",
                        "appends by changes",
                        OptionalDouble.of(mSize.changesPerSecond()),
                        "appends/s",
                        OptionalDouble.of(DesignSize.LOG_APPENDS_PER_SECOND),
                        "changes a day / 86,400",
                        "one record for each change"));
        rows.add(
                row(
                        "log",
                        "reads by changes",
                        scaled(
                                CONVERGENCE,
                                LARGEST_MESH + "change.log-reads",
                                reads -> reads * mSize.changesPerSecond()),
                        "reads/s",
                        OptionalDouble.empty(),
                        "convergence: change.log-reads at 11 data centres x changes a second",
                        "long polls of readers only; independent of nodes"));
        rows.add(
                row(
                        "log",
                        "reads more for each node",
                        of(CONVERGENCE, "convergence.log-reads-by-nodes.slope"),
                        "reads/s",
                        OptionalDouble.empty(),
                        "convergence: log-reads-by-nodes.slope",
                        "readers, not nodes, read"));
    }

    private void addOperator(List<CapacityRow> rows) {
        rows.add(
                row(
                        "operator's endpoint",
                        "messages for one status of a change",
                        OptionalDouble.of((double) mSize.dataCentres() * READERS_PER_DATA_CENTRE),
                        "messages",
                        OptionalDouble.empty(),
                        "data centres x readers, at most",
                        "readers answer for their data centre"));
        rows.add(
                row(
                        "operator's endpoint",
                        "snapshot of all state",
                        of(STATE, "state.snapshot.bytes"),
                        "B",
                        OptionalDouble.empty(),
                        "state: snapshot.bytes",
                        "compressed, content shared between versions"));
    }

    private OptionalDouble controlBytes() {
        OptionalDouble steady =
                both(
                        of(CONVERGENCE, "convergence.steady-bytes-by-nodes.intercept"),
                        of(CONVERGENCE, "convergence.steady-bytes-by-nodes.slope"),
                        (intercept, slope) -> intercept + slope * mSize.nodes());
        OptionalDouble changes =
                scaled(
                        CONVERGENCE,
                        LARGEST_MESH + "change.bytes",
                        bytes -> bytes * mSize.changesPerSecond());
        return both(steady, changes, Double::sum);
    }

    private OptionalDouble callsCorePercent() {
        return scaled(
                CALLS,
                "processor.azurearch-two-nodes.beyond-direct",
                micros -> micros * mSize.callsPerNode() / MICROS_PER_CORE_PERCENT);
    }

    private double readers() {
        return mSize.dataCentres() * (double) READERS_PER_DATA_CENTRE;
    }

    private OptionalDouble of(String record, String figure) {
        return mMeasured.figure(record, figure);
    }

    private OptionalDouble seconds(String record, String figure) {
        return scaled(record, figure, value -> value * MILLIS_PER_SECOND);
    }

    private OptionalDouble scaled(String record, String figure, DoubleUnaryOperator scale) {
        OptionalDouble value = of(record, figure);
        return value.isEmpty()
                ? value
                : OptionalDouble.of(scale.applyAsDouble(value.getAsDouble()));
    }

    private static OptionalDouble both(
            OptionalDouble first, OptionalDouble second, DoubleBinaryOperator combine) {
        if (first.isEmpty() || second.isEmpty()) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(combine.applyAsDouble(first.getAsDouble(), second.getAsDouble()));
    }

    private static CapacityRow row(
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
