package org.azurearch.sidecar.admit;

import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * How long the answers of each rank may wait for a link and still come in time. Confined to one
 * thread.
 */
final class RankSlack {
    /** Weight of a new request in the moving average of a rank. */
    private static final double NEW_WEIGHT = 0.05;

    /** Time after its last request from which a rank has no demand. */
    private static final long LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(2);

    private record Slack(double millis, long nowNanos) {}

    private final TreeMap<Integer, Slack> mByRank = new TreeMap<>();

    /** Adds a request; one that is late in any case gives no measure and is left out. */
    void addArrival(int rank, double millis, long nowNanos) {
        if (millis > 0) {
            Slack old = mByRank.get(rank);
            double mean =
                    old == null ? millis : old.millis() + NEW_WEIGHT * (millis - old.millis());
            mByRank.put(rank, new Slack(mean, nowNanos));
        }
    }

    /**
     * Returns how long the answers that are more urgent than a rank may wait, in milliseconds;
     * infinite if there is no demand for them.
     */
    double leastAbove(int rank, long nowNanos) {
        double least = Double.POSITIVE_INFINITY;
        for (Slack slack : mByRank.headMap(rank, false).values()) {
            if (nowNanos - slack.nowNanos() <= LIFETIME_NANOS) {
                least = Math.min(least, slack.millis());
            }
        }
        return least;
    }
}
