package org.azurearch.standin.bench.mesh;

import java.util.Map;
import org.azurearch.standin.log.LogServerOptions;

/**
 * The layout and settings of a mesh.
 *
 * @param nodes number of nodes, distributed round-robin over the data centres
 * @param dataCentres number of data centres, at least 1
 * @param regions number of regions, at least 1
 * @param policy value of the setting {@code spread.policy}
 * @param log options of the log server
 * @param sections additional settings of every node by section; they override those derived from
 *     the plan
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

    /** Returns a plan with one region, default log options and no additional settings. */
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
