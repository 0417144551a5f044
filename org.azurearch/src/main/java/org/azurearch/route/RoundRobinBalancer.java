package org.azurearch.route;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the endpoints in turn, regardless of distance and load. A baseline to compare {@link
 * PowerOfTwoBalancer} with. Confined to one thread.
 */
public final class RoundRobinBalancer implements Balancer {
    private int mNext;

    @Override
    public @Nullable EndpointLoad choose(Candidates candidates, ChoiceContext context) {
        List<EndpointLoad> all = new ArrayList<>();
        candidates.tiers().forEach(tier -> all.addAll(EligibleEndpoints.of(tier, context)));
        if (all.isEmpty()) {
            return null;
        }
        mNext = (mNext + 1) % all.size();
        return all.get(mNext);
    }
}
