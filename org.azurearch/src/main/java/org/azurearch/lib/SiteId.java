package org.azurearch.lib;

/** Identifies a site, to which an overlay applies; it has the name of its data centre. */
public final class SiteId extends NamedId {
    private SiteId(String name) {
        super(name);
    }

    /**
     * Parses an identifier.
     *
     * @param name the name, see {@link NamedId}
     * @throws org.azurearch.errors.AzurearchException if the name is malformed
     */
    public static SiteId fromString(String name) {
        return new SiteId(name);
    }
}
