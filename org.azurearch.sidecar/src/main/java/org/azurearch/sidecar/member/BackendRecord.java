package org.azurearch.sidecar.member;

/**
 * The description of a backend server that its node publishes to its peers.
 *
 * @param service the name of the service
 * @param instance identifies this run of the backend server
 * @param slots the number of requests that it runs concurrently
 * @param ready whether it takes requests
 * @param warmingMillis how much longer it is slow after its start, in milliseconds
 * @param limitPerSecond how many requests a second it takes from all nodes together; negative if it
 *     names no limit
 * @param startedMillis when this run of it started, in milliseconds since the epoch; 0 if unknown
 * @param leaving whether it is about to stop
 * @param version the version of its software; empty if it names none
 */
public record BackendRecord(
        String service,
        String instance,
        int slots,
        boolean ready,
        int warmingMillis,
        double limitPerSecond,
        long startedMillis,
        boolean leaving,
        String version) {
    /** The limit of a backend server that names none. */
    public static final double NO_LIMIT = -1;

    /** Checks that the number of slots is positive. */
    public BackendRecord {
        if (slots <= 0) {
            throw new IllegalArgumentException("slots must be positive: " + slots);
        }
        if (warmingMillis < 0 || Double.isNaN(limitPerSecond)) {
            throw new IllegalArgumentException(
                    "negative warm-up time or no limit: " + warmingMillis + ", " + limitPerSecond);
        }
    }

    /** Creates a record of a backend server that names no version. */
    public BackendRecord(
            String service,
            String instance,
            int slots,
            boolean ready,
            int warmingMillis,
            double limitPerSecond,
            long startedMillis,
            boolean leaving) {
        this(
                service,
                instance,
                slots,
                ready,
                warmingMillis,
                limitPerSecond,
                startedMillis,
                leaving,
                "");
    }

    /**
     * Returns whether this and another record are of the same run of a backend server. A record
     * without a start time, as of a run whose heartbeat its restarted node still awaits, is taken
     * for one of any run of its instance.
     */
    public boolean sameRun(BackendRecord other) {
        boolean unknown = startedMillis == 0 || other.startedMillis == 0;
        return instance.equals(other.instance) && (unknown || startedMillis == other.startedMillis);
    }

    /** Creates a record of a backend server that names no limit and is not leaving. */
    public BackendRecord(
            String service, String instance, int slots, boolean ready, int warmingMillis) {
        this(service, instance, slots, ready, warmingMillis, NO_LIMIT, 0, false);
    }
}
