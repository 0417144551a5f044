package org.azurearch.standin.backend;

import java.time.Duration;

/**
 * Options of a backend server stand-in.
 *
 * @param slots the number of requests run concurrently; further ones are answered with 503
 * @param maxConnections the maximum number of connections; further ones are closed at once
 * @param connectionCost the extra time that the first request of a connection takes
 * @param serviceTime the processing time of a request
 * @param coldStart startup and warm-up
 * @param reports the behaviour of the health and load endpoints
 * @param crashEndsProcess whether a requested crash halts the process rather than closing only the
 *     server
 * @param seed the seed of the random numbers
 */
public record BackendOptions(
        int slots,
        int maxConnections,
        Duration connectionCost,
        ServiceTime serviceTime,
        ColdStart coldStart,
        HealthReports reports,
        boolean crashEndsProcess,
        long seed) {
    /** A backend server of typical size that answers at once. */
    public static final BackendOptions DEFAULT =
            new BackendOptions(
                    20,
                    100,
                    Duration.ofMillis(1),
                    ServiceTime.NONE,
                    ColdStart.NONE,
                    HealthReports.ACCURATE,
                    false,
                    1L);

    /** Returns a copy with the given number of slots. */
    public BackendOptions withSlots(int count) {
        return new BackendOptions(
                count,
                maxConnections,
                connectionCost,
                serviceTime,
                coldStart,
                reports,
                crashEndsProcess,
                seed);
    }

    /** Returns a copy with the given connection limit and cost. */
    public BackendOptions withConnections(int limit, Duration cost) {
        return new BackendOptions(
                slots, limit, cost, serviceTime, coldStart, reports, crashEndsProcess, seed);
    }

    /** Returns a copy with the given service time. */
    public BackendOptions withServiceTime(ServiceTime time) {
        return new BackendOptions(
                slots,
                maxConnections,
                connectionCost,
                time,
                coldStart,
                reports,
                crashEndsProcess,
                seed);
    }

    /** Returns a copy with the given cold start. */
    public BackendOptions withColdStart(ColdStart start) {
        return new BackendOptions(
                slots,
                maxConnections,
                connectionCost,
                serviceTime,
                start,
                reports,
                crashEndsProcess,
                seed);
    }

    /** Returns a copy with the given health and load reports. */
    public BackendOptions withReports(HealthReports newReports) {
        return new BackendOptions(
                slots,
                maxConnections,
                connectionCost,
                serviceTime,
                coldStart,
                newReports,
                crashEndsProcess,
                seed);
    }

    /** Returns a copy in which a requested crash halts the process. */
    public BackendOptions withCrashEndingProcess() {
        return new BackendOptions(
                slots, maxConnections, connectionCost, serviceTime, coldStart, reports, true, seed);
    }

    /** Returns a copy with the given seed. */
    public BackendOptions withSeed(long newSeed) {
        return new BackendOptions(
                slots,
                maxConnections,
                connectionCost,
                serviceTime,
                coldStart,
                reports,
                crashEndsProcess,
                newSeed);
    }
}
