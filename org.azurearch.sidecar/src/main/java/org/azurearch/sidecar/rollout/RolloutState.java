package org.azurearch.sidecar.rollout;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The state of the roll-out of a service, which only moves forward.
 *
 * @param service the name of the service
 * @param orderId the id of the order
 * @param targetVersion the version that is rolled out
 * @param baseVersion the version that serves otherwise
 * @param verdict the decision
 * @param step the step of the plan
 * @param share the fraction of the service's requests that the target version gets
 * @param durationMillis the time within which the roll-out has to be decided
 * @param elapsedMillis the time since the order was first seen, when this state was made
 * @param rejected the versions that were rolled back
 * @param slowMillis the latency by route above which an answer counts as slow
 * @param routeShares the share by route where it differs from that of the service
 */
public record RolloutState(
        String service,
        long orderId,
        String targetVersion,
        String baseVersion,
        Verdict verdict,
        int step,
        double share,
        long durationMillis,
        long elapsedMillis,
        Set<String> rejected,
        Map<String, Integer> slowMillis,
        Map<String, Double> routeShares) {
    /** Copies the collections. */
    public RolloutState {
        rejected = Set.copyOf(rejected);
        slowMillis = Map.copyOf(slowMillis);
        routeShares = Map.copyOf(routeShares);
    }

    /** Returns the fraction of a route's requests that the target version gets. */
    public double share(String route) {
        return routeShares.getOrDefault(route, share);
    }

    /** Returns whether this state replaces another one of the same service. */
    public boolean supersedes(RolloutState other) {
        if (orderId != other.orderId) {
            return orderId > other.orderId;
        }
        return verdict != other.verdict ? verdict.compareTo(other.verdict) > 0 : step > other.step;
    }

    /** Returns whether another state is at the same point of the same roll-out. */
    public boolean sameAs(RolloutState other) {
        return !supersedes(other) && !other.supersedes(this);
    }

    /** Returns whether the target version may get requests. */
    public boolean running() {
        return verdict == Verdict.RUNNING;
    }

    /** Returns the version that serves the requests that the target version does not get. */
    public String mainVersion() {
        return verdict == Verdict.COMPLETED ? targetVersion : baseVersion;
    }

    /** Returns this state with another decision. */
    public RolloutState withVerdict(Verdict other) {
        Set<String> versions = new TreeSet<>(rejected);
        if (other == Verdict.HALTED || other == Verdict.ROLLED_BACK) {
            versions.add(targetVersion);
        }
        double otherShare = other == Verdict.COMPLETED ? 1 : 0;
        return new RolloutState(
                service,
                orderId,
                targetVersion,
                baseVersion,
                other,
                step,
                otherShare,
                durationMillis,
                elapsedMillis,
                versions,
                slowMillis,
                Map.of());
    }

    /** Returns this state at another step. */
    public RolloutState withStep(
            int otherStep, double otherShare, Map<String, Double> otherRouteShares) {
        return new RolloutState(
                service,
                orderId,
                targetVersion,
                baseVersion,
                verdict,
                otherStep,
                otherShare,
                durationMillis,
                elapsedMillis,
                rejected,
                slowMillis,
                otherRouteShares);
    }

    /** Returns this state at another time, with other thresholds. */
    public RolloutState at(long otherElapsedMillis, Map<String, Integer> otherSlowMillis) {
        return new RolloutState(
                service,
                orderId,
                targetVersion,
                baseVersion,
                verdict,
                step,
                share,
                durationMillis,
                otherElapsedMillis,
                rejected,
                otherSlowMillis,
                routeShares);
    }
}
