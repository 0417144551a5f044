package org.azurearch.route;

import org.jspecify.annotations.Nullable;

/** Load balancing algorithm. Implementations do no I/O and read no clock. */
public interface Balancer {
    /**
     * Chooses the endpoint for a call among those that are ready and not excluded.
     *
     * @param candidates the endpoints of the service
     * @param context the time, the endpoints to avoid and the randomness
     * @return the endpoint, or null if no endpoint is ready and not excluded
     */
    @Nullable EndpointLoad choose(Candidates candidates, ChoiceContext context);
}
