package org.azurearch.lib;

/** Identifies a region, a group of data centres. */
public final class RegionId extends NamedId {
    private RegionId(String name) {
        super(name);
    }

    /**
     * Parses an identifier.
     *
     * @param name the name, see {@link NamedId}
     * @throws org.azurearch.errors.AzurearchException if the name is malformed
     */
    public static RegionId fromString(String name) {
        return new RegionId(name);
    }
}
