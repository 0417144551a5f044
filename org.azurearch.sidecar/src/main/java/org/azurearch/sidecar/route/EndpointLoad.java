package org.azurearch.sidecar.route;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The load of a backend server, as reported by the node in front of it.
 *
 * @param running the number of requests that it is running
 * @param waiting the number of requests that wait for it, for each of {@link #RANK_COUNT} ranks;
 *     the last number includes all less urgent ranks
 * @param workMillis how long it works on a request on average; 0 if unknown
 * @param failurePercent the percentage of recent requests that it failed or rejected
 * @param startWaitMillis how long until one more request may start within the limit that the
 *     backend server names; 0 without a limit
 * @param linkWaitMillis how long the answers take that wait on the link of its VM; 0 if negligible
 * @param linkMbps the bandwidth of that link, in megabits a second; infinite if it is not limited
 */
public record EndpointLoad(
        int running,
        List<Integer> waiting,
        double workMillis,
        int failurePercent,
        double startWaitMillis,
        double linkWaitMillis,
        double linkMbps) {
    /**
     * Number of ranks that are distinguished; the users' configurations have three, or six with two
     * ranks of client accounts.
     */
    public static final int RANK_COUNT = 7;

    /** The load before the first report. */
    public static final EndpointLoad UNKNOWN =
            new EndpointLoad(0, Collections.nCopies(RANK_COUNT, 0), 0, 0);

    /** Creates the load of a backend server that names no limit. */
    public EndpointLoad(int running, List<Integer> waiting, double workMillis, int failurePercent) {
        this(running, waiting, workMillis, failurePercent, 0);
    }

    /** Creates the load of a backend server on a VM whose link is not limited. */
    public EndpointLoad(
            int running,
            List<Integer> waiting,
            double workMillis,
            int failurePercent,
            double startWaitMillis) {
        this(
                running,
                waiting,
                workMillis,
                failurePercent,
                startWaitMillis,
                0,
                Double.POSITIVE_INFINITY);
    }

    /** Returns this load with that of the VM's link. */
    public EndpointLoad withLink(double waitMillis, double mbps) {
        return new EndpointLoad(
                running, waiting, workMillis, failurePercent, startWaitMillis, waitMillis, mbps);
    }

    /** Checks the number of ranks, and adds those without a waiting request. */
    public EndpointLoad {
        if (waiting.size() > RANK_COUNT) {
            throw new IllegalArgumentException("too many ranks: " + waiting.size());
        }
        if (waiting.size() < RANK_COUNT) {
            List<Integer> all = new ArrayList<>(waiting);
            all.addAll(Collections.nCopies(RANK_COUNT - waiting.size(), 0));
            waiting = List.copyOf(all);
        }
    }

    /** Returns the index of a rank among those that are distinguished. */
    public static int rankIndex(int rank) {
        return Math.max(0, Math.min(rank, RANK_COUNT - 1));
    }

    /** Returns the number of waiting requests that precede a new request of a rank. */
    public int waitingUpTo(int rank) {
        int sum = 0;
        for (int i = 0; i <= rankIndex(rank); i++) {
            sum += waiting.get(i);
        }
        return sum;
    }
}
