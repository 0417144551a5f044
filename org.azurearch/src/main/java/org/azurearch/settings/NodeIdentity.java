package org.azurearch.settings;

import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.NodeId;
import org.azurearch.lib.RegionId;
import org.azurearch.lib.SiteId;

/**
 * Identity and location of a node, from its settings.
 *
 * @param mesh the name of the mesh, which is the prefix of its streams
 * @param node the identifier of the node
 * @param dataCentre its data centre
 * @param region its region
 */
public record NodeIdentity(String mesh, NodeId node, DataCentreId dataCentre, RegionId region) {
    /** Reads the section {@code node}. */
    public static NodeIdentity from(SettingsSection settings) {
        SettingsSection section = settings.section("node");
        return new NodeIdentity(
                section.string("mesh"),
                NodeId.fromString(section.string("id")),
                DataCentreId.fromString(section.string("dataCentre")),
                RegionId.fromString(section.string("region")));
    }

    /** Returns the site, which has the name of the data centre. */
    public SiteId site() {
        return SiteId.fromString(dataCentre.name());
    }
}
