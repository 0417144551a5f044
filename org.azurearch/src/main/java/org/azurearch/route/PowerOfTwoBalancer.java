package org.azurearch.route;

import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the less loaded of two random endpoints of the nearest tier, and moves on to a farther
 * tier only if that endpoint has no free slot. Uses an ejected endpoint only if no other is left.
 */
public final class PowerOfTwoBalancer implements Balancer {
    @Override
    public @Nullable EndpointLoad choose(Candidates candidates, ChoiceContext context) {
        EndpointLoad fallback = null;
        for (List<EndpointLoad> tier : candidates.tiers()) {
            EndpointLoad best = lessLoadedOfTwo(tier, candidates.slowStartMillis(), context);
            if (best != null && !best.saturated(context.nowNanos())) {
                return best;
            }
            fallback = fallback == null ? best : fallback;
        }
        return fallback != null
                ? fallback
                : EligibleEndpoints.firstIgnoringEjection(candidates, context);
    }

    private static @Nullable EndpointLoad lessLoadedOfTwo(
            List<EndpointLoad> tier, long slowStartMillis, ChoiceContext context) {
        List<EndpointLoad> eligible = EligibleEndpoints.of(tier, context);
        int count = eligible.size();
        if (count <= 1) {
            return count == 0 ? null : eligible.get(0);
        }
        RandomGenerator random = context.random();
        int first = random.nextInt(count);
        int second = random.nextInt(count - 1);
        second += second >= first ? 1 : 0;
        EndpointLoad a = eligible.get(first);
        EndpointLoad b = eligible.get(second);
        return score(a, slowStartMillis, context) <= score(b, slowStartMillis, context) ? a : b;
    }

    private static double score(EndpointLoad load, long slowStartMillis, ChoiceContext context) {
        double share =
                load.endpoint().slots()
                        * load.slowStartFraction(slowStartMillis, context.wallMillis());
        return (load.estimatedCalls(context.nowNanos()) + 1) / Math.max(share, Double.MIN_NORMAL);
    }
}
