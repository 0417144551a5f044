package org.azurearch.route;

import java.util.List;

/**
 * The endpoints of a service, grouped by distance; immutable.
 *
 * @param local endpoints in this data centre
 * @param near endpoints in the other data centres of this region
 * @param far endpoints in other regions
 * @param slowStartMillis the time over which the share of a new endpoint rises to its full value
 */
public record Candidates(
        List<EndpointLoad> local,
        List<EndpointLoad> near,
        List<EndpointLoad> far,
        long slowStartMillis) {
    /** Copies the lists. */
    public Candidates {
        local = List.copyOf(local);
        near = List.copyOf(near);
        far = List.copyOf(far);
    }

    /** Returns the groups, nearest first. */
    public List<List<EndpointLoad>> tiers() {
        return List.of(local, near, far);
    }
}
