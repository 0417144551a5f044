package org.azurearch.standin.bench.mesh;

import java.util.Map;
import org.azurearch.standin.log.LogServerOptions;

/**
 * The nodes of a mesh.
 *
 * @param nodes how many nodes, spread evenly over the data centres
 * @param dataCentres how many data centres, 1 or more
 * @param regions how many regions, 1 or more
 * @param policy the policy by which versions are spread
 * @param log the options of the log
 * @param sections more settings of each node by section, which go before the plan's own
 */
public record MeshPlan(
        int nodes,
        int dataCentres,
        int regions,
        String policy,
        LogServerOptions log,
        Map<String, Map<String, Object>> sections) {
    /** Takes a copy of the map. */
    public MeshPlan {
        sections = Map.copyOf(sections);
    }

    /** Returns a plan with the log's usual options. */
    public static MeshPlan of(int nodes, int dataCentres, String policy) {
        return new MeshPlan(nodes, dataCentres, 1, policy, LogServerOptions.DEFAULT, Map.of());
    }

    /** Returns the name of the data centre of a node. */
    public String dataCentreOf(int node) {
        return "dc" + node % dataCentres;
    }

    /** Returns the name of the region of a node. */
    public String regionOf(int node) {
        return "region" + node % dataCentres % regions;
    }
}
