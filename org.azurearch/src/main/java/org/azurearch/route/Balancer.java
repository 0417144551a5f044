package org.azurearch.route;

import org.jspecify.annotations.Nullable;

/** Chooses the endpoint that a call is sent to. Implementations do no I/O and read no clock. */
public interface Balancer {
    /**
     * Chooses an endpoint among those that are ready and not excluded.
     *
     * @param candidates the endpoints of the service
     * @param context the time, the endpoints to avoid and the randomness
     * @return the endpoint, or null when there is none
     */
    @Nullable EndpointLoad choose(Candidates candidates, ChoiceContext context);
}
