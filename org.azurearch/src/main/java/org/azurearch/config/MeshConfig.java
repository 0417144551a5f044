package org.azurearch.config;

import java.util.Map;
import org.azurearch.lib.Digest;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.SiteId;

/**
 * The configuration of all firms at one site after folding the change stream up to an offset;
 * immutable.
 *
 * @param offset the offset of the last record folded; -1 before the first
 * @param digest the running digest of the folded state
 * @param site the site
 * @param firms the configuration by firm; firms without an accepted version are absent
 */
public record MeshConfig(long offset, Digest digest, SiteId site, Map<FirmId, SiteConfig> firms) {
    /** Takes a copy of the map. */
    public MeshConfig {
        firms = Map.copyOf(firms);
    }
}
