package org.azurearch.sidecar.rollout;

import java.util.List;
import java.util.Map;

/**
 * What one node has observed of a roll-out since the start of the node or of the roll-out. All
 * counts are cumulative, so that a lost or repeated message changes nothing.
 *
 * @param node the name of the node
 * @param incarnation the run of the node
 * @param sequence increases with each observation of a run
 * @param requests the number of requests for the service
 * @param exposed the number of requests sent to the target version
 * @param basePending the number of requests that run at servers of other versions
 * @param outcomes the outcomes by route and version
 * @param servers the outcomes by server of the target version
 */
public record NodeEvidence(
        String node,
        long incarnation,
        long sequence,
        long requests,
        long exposed,
        int basePending,
        Map<RouteVersion, Outcomes> outcomes,
        Map<String, ServerOutcomes> servers) {
    /**
     * A route at one of the two versions.
     *
     * @param route the name of the route
     * @param target whether it is the target version
     */
    public record RouteVersion(String route, boolean target) {}

    /**
     * Cumulative outcomes.
     *
     * @param answered the number of answers
     * @param failed the number of answers that state a failure
     * @param timed the number of requests that count for latency
     * @param slow how many of those were slow
     * @param latencies the number of answers by latency bucket
     */
    public record Outcomes(
            long answered, long failed, long timed, long slow, List<Long> latencies) {
        /** No outcomes. */
        public static final Outcomes NONE = new Outcomes(0, 0, 0, 0, List.of());
    }

    /**
     * Cumulative outcomes at a server.
     *
     * @param answered the number of answers and slow requests
     * @param bad the number of failed answers and slow requests
     */
    public record ServerOutcomes(long answered, long bad) {}

    /** Returns whether this observation replaces another one of the same node. */
    public boolean newerThan(NodeEvidence other) {
        return incarnation != other.incarnation
                ? incarnation > other.incarnation
                : sequence > other.sequence;
    }
}
