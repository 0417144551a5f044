package org.azurearch.sidecar.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** The evidence of all nodes on one roll-out. Confined to one thread. */
public final class EvidenceSum {
    private final Map<String, NodeEvidence> mNewest = new HashMap<>();
    private final Map<String, NodeEvidence> mEarlierRuns = new HashMap<>();

    /** Adds what a node observed; an older or repeated observation changes nothing. */
    public void merge(NodeEvidence evidence) {
        NodeEvidence known = mNewest.get(evidence.node());
        if (known != null && !evidence.newerThan(known)) {
            return;
        }
        if (known != null && known.incarnation() != evidence.incarnation()) {
            mEarlierRuns.put(known.node() + '/' + known.incarnation(), known);
        }
        mNewest.put(evidence.node(), evidence);
    }

    /** Returns the number of requests for the service. */
    public long requests() {
        return sum(mNewest.values(), true) + sum(mEarlierRuns.values(), true);
    }

    /** Returns the number of requests sent to the target version. */
    public long exposed() {
        return sum(mNewest.values(), false) + sum(mEarlierRuns.values(), false);
    }

    /** Returns the number of requests that run at servers of other versions. */
    public int basePending() {
        int pending = 0;
        for (NodeEvidence evidence : mNewest.values()) {
            pending += evidence.basePending();
        }
        return pending;
    }

    /** Returns the outcomes by route and version. */
    public Map<NodeEvidence.RouteVersion, NodeEvidence.Outcomes> outcomes() {
        Map<NodeEvidence.RouteVersion, NodeEvidence.Outcomes> sum = new HashMap<>();
        for (NodeEvidence evidence : mNewest.values()) {
            evidence.outcomes().forEach((key, value) -> sum.merge(key, value, EvidenceSum::plus));
        }
        for (NodeEvidence evidence : mEarlierRuns.values()) {
            evidence.outcomes().forEach((key, value) -> sum.merge(key, value, EvidenceSum::plus));
        }
        return sum;
    }

    /** Returns the outcomes by server of the target version. */
    public Map<String, NodeEvidence.ServerOutcomes> servers() {
        Map<String, NodeEvidence.ServerOutcomes> sum = new HashMap<>();
        for (NodeEvidence evidence : mNewest.values()) {
            evidence.servers()
                    .forEach(
                            (server, outcomes) ->
                                    sum.merge(
                                            server,
                                            outcomes,
                                            (a, b) ->
                                                    new NodeEvidence.ServerOutcomes(
                                                            a.answered() + b.answered(),
                                                            a.bad() + b.bad())));
        }
        return sum;
    }

    private static NodeEvidence.Outcomes plus(NodeEvidence.Outcomes a, NodeEvidence.Outcomes b) {
        return new NodeEvidence.Outcomes(
                a.answered() + b.answered(),
                a.failed() + b.failed(),
                a.timed() + b.timed(),
                a.slow() + b.slow(),
                LatencyBuckets.sum(a.latencies(), b.latencies()));
    }

    private static long sum(Collection<NodeEvidence> all, boolean requests) {
        long sum = 0;
        for (NodeEvidence evidence : all) {
            sum += requests ? evidence.requests() : evidence.exposed();
        }
        return sum;
    }
}
