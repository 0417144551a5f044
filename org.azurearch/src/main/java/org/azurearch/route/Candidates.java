package org.azurearch.route;

import java.util.List;

/**
 * The endpoints of a service, nearest first.
 *
 * @param local those of this data centre
 * @param near those of the other data centres of this region
 * @param far those of other regions
 * @param slowStartMillis the time over which a new endpoint comes to its full share
 */
public record Candidates(
        List<EndpointLoad> local,
        List<EndpointLoad> near,
        List<EndpointLoad> far,
        long slowStartMillis) {
    /** Takes copies of the lists. */
    public Candidates {
        local = List.copyOf(local);
        near = List.copyOf(near);
        far = List.copyOf(far);
    }

    /** Returns the lists, nearest first. */
    public List<List<EndpointLoad>> tiers() {
        return List.of(local, near, far);
    }
}
