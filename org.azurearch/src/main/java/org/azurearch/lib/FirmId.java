package org.azurearch.lib;

/** Identifies a firm, the tenant that owns routes and services. */
public final class FirmId extends NamedId {
    private FirmId(String name) {
        super(name);
    }

    /**
     * Parses an identifier.
     *
     * @param name the name, see {@link NamedId}
     * @throws org.azurearch.errors.AzurearchException if the name is malformed
     */
    public static FirmId fromString(String name) {
        return new FirmId(name);
    }
}
