package org.azurearch.standin.bench.capacity;

/**
 * The size to design for.
 *
 * @param nodes nodes, one in front of each backend server
 * @param services services
 * @param dataCentres data centres
 * @param callsPerSecond calls a second over all nodes
 * @param changesPerDay changes of configuration a day
 * @param restartsPerDay restarts of nodes a day
 */
public record TargetSize(
        int nodes,
        int services,
        int dataCentres,
        int callsPerSecond,
        int changesPerDay,
        int restartsPerDay) {
    /** The size that the letters ask for. */
    public static final TargetSize TARGET = new TargetSize(3_300, 380, 11, 780_000, 4_400, 1_200);

    /** Processor time that control may use on a node, in percent of a core. */
    public static final double MAX_CONTROL_CORE_PERCENT = 4.0;

    /** Memory of a node's process, in MiB. */
    public static final double MAX_MEMORY_MEBIBYTES = 256.0;

    /** Control traffic of a node, in bytes a second. */
    public static final double MAX_CONTROL_BYTES_PER_SECOND = 20_000.0;

    /** Appends that the log takes a second. */
    public static final double MAX_LOG_APPENDS_PER_SECOND = 500.0;

    /** Time until a change is in force everywhere, in milliseconds. */
    public static final double MAX_IN_FORCE_MILLIS = 4_000.0;

    /** Latency added to a call for 99 in 100, in milliseconds. */
    public static final double MAX_ADDED_P99_MILLIS = 0.34;

    private static final double SECONDS_PER_DAY = 86_400.0;

    /** Returns the nodes of a data centre. */
    public double nodesPerDataCentre() {
        return (double) nodes / dataCentres;
    }

    /** Returns the calls a second to one backend server. */
    public double callsPerNode() {
        return (double) callsPerSecond / nodes;
    }

    /** Returns the changes a second, spread evenly over the day. */
    public double changesPerSecond() {
        return changesPerDay / SECONDS_PER_DAY;
    }

    /** Returns the restarts a second, spread evenly over the day. */
    public double restartsPerSecond() {
        return restartsPerDay / SECONDS_PER_DAY;
    }
}
