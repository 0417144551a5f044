package org.azurearch.route;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the endpoint with the lowest estimated load, regardless of distance. A baseline to
 * compare {@link PowerOfTwoBalancer} with.
 */
public final class LeastLoadedBalancer implements Balancer {
    @Override
    public @Nullable EndpointLoad choose(Candidates candidates, ChoiceContext context) {
        List<EndpointLoad> all = new ArrayList<>();
        candidates.tiers().forEach(tier -> all.addAll(EligibleEndpoints.of(tier, context)));
        EndpointLoad best = null;
        for (EndpointLoad load : all) {
            if (best == null
                    || load.estimatedCalls(context.nowNanos())
                            < best.estimatedCalls(context.nowNanos())) {
                best = load;
            }
        }
        return best;
    }
}
