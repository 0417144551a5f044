package org.azurearch.lib;

/** Identifies a route within a firm. */
public final class RouteId extends NamedId {
    private RouteId(String name) {
        super(name);
    }

    /**
     * Parses an identifier.
     *
     * @param name the name, see {@link NamedId}
     * @throws org.azurearch.errors.AzurearchException if the name is malformed
     */
    public static RouteId fromString(String name) {
        return new RouteId(name);
    }
}
