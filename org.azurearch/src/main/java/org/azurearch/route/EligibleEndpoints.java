package org.azurearch.route;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Filters the endpoints that a call may be sent to. */
final class EligibleEndpoints {
    private EligibleEndpoints() {}

    /**
     * Returns the endpoints that are ready, not excluded and not ejected; the given list if all
     * are.
     */
    static List<EndpointLoad> of(List<EndpointLoad> tier, ChoiceContext context) {
        for (EndpointLoad load : tier) {
            if (!eligible(load, context)) {
                return filtered(tier, context);
            }
        }
        return tier;
    }

    /** Returns the nearest endpoint that is ready and not excluded, ejected or not, or null. */
    static @Nullable EndpointLoad firstIgnoringEjection(
            Candidates candidates, ChoiceContext context) {
        for (List<EndpointLoad> tier : candidates.tiers()) {
            for (EndpointLoad load : tier) {
                if (usable(load, context)) {
                    return load;
                }
            }
        }
        return null;
    }

    private static List<EndpointLoad> filtered(List<EndpointLoad> tier, ChoiceContext context) {
        List<EndpointLoad> eligible = new ArrayList<>(tier.size());
        for (EndpointLoad load : tier) {
            if (eligible(load, context)) {
                eligible.add(load);
            }
        }
        return eligible;
    }

    private static boolean eligible(EndpointLoad load, ChoiceContext context) {
        return usable(load, context) && !load.ejected(context.nowNanos());
    }

    private static boolean usable(EndpointLoad load, ChoiceContext context) {
        return load.ready() && !context.excluded().contains(load.endpoint().node());
    }
}
