package org.azurearch.standin.bench.capacity;

/**
 * The size and load of a deployment that capacity is planned for.
 *
 * @param nodes number of nodes, one for each backend server
 * @param services number of services
 * @param dataCentres number of data centres
 * @param callsPerSecond calls per second over all nodes
 * @param changesPerDay configuration changes per day
 * @param restartsPerDay node restarts per day
 */
public record TargetSize(
        int nodes,
        int services,
        int dataCentres,
        int callsPerSecond,
        int changesPerDay,
        int restartsPerDay) {
    /** The size that the requirements state. */
    public static final TargetSize TARGET = new TargetSize(3_300, 380, 11, 780_000, 4_400, 1_200);

    /** Limit of the control processor time of a node, in percent of a core. */
    public static final double MAX_CONTROL_CORE_PERCENT = 4.0;

    /** Memory limit of the node process, in MiB. */
    public static final double MAX_MEMORY_MEBIBYTES = 256.0;

    /** Limit of the control traffic of a node, in bytes per second. */
    public static final double MAX_CONTROL_BYTES_PER_SECOND = 20_000.0;

    /** Appends per second that the log accepts. */
    public static final double MAX_LOG_APPENDS_PER_SECOND = 500.0;

    /** Limit of the time until a change is in force on every node, in milliseconds. */
    public static final double MAX_IN_FORCE_MILLIS = 4_000.0;

    /** Limit of the latency added to a call at the 99th percentile, in milliseconds. */
    public static final double MAX_ADDED_P99_MILLIS = 0.34;

    private static final double SECONDS_PER_DAY = 86_400.0;

    /** Returns the average number of nodes of a data centre. */
    public double nodesPerDataCentre() {
        return (double) nodes / dataCentres;
    }

    /** Returns the average calls per second to a backend server. */
    public double callsPerNode() {
        return (double) callsPerSecond / nodes;
    }

    /** Returns the changes per second, averaged over the day. */
    public double changesPerSecond() {
        return changesPerDay / SECONDS_PER_DAY;
    }

    /** Returns the restarts per second, averaged over the day. */
    public double restartsPerSecond() {
        return restartsPerDay / SECONDS_PER_DAY;
    }
}
