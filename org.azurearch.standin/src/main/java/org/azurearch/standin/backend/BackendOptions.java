package org.azurearch.standin.backend;

import java.time.Duration;

/**
 * Options of a backend server stand-in.
 *
 * @param slots requests that it runs at once; more are answered with 503
 * @param maxConnections the most connections; one more is closed at once
 * @param connectionCost how long the first request of a connection is held back
 * @param serviceTime how long it works on a request
 * @param coldStart how it behaves after its start
 * @param reports what its health and load endpoints tell
 * @param crashEndsProcess whether a crash on command ends the process rather than only the server
 * @param seed the seed of its random numbers
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
    /** A backend server of the size common today that answers at once. */
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

    /** Returns the options with another number of slots. */
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

    /** Returns the options with another limit and cost of connections. */
    public BackendOptions withConnections(int most, Duration cost) {
        return new BackendOptions(
                slots, most, cost, serviceTime, coldStart, reports, crashEndsProcess, seed);
    }

    /** Returns the options with another service time. */
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

    /** Returns the options with another cold start. */
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

    /** Returns the options with other health and load reports. */
    public BackendOptions withReports(HealthReports told) {
        return new BackendOptions(
                slots,
                maxConnections,
                connectionCost,
                serviceTime,
                coldStart,
                told,
                crashEndsProcess,
                seed);
    }

    /** Returns the options of a server whose crash ends the process. */
    public BackendOptions withCrashEndingProcess() {
        return new BackendOptions(
                slots, maxConnections, connectionCost, serviceTime, coldStart, reports, true, seed);
    }

    /** Returns the options with another seed. */
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
