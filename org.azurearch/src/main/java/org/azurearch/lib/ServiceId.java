package org.azurearch.lib;

/** Identifies a service within a firm. */
public final class ServiceId extends NamedId {
    private ServiceId(String name) {
        super(name);
    }

    /**
     * Parses an identifier.
     *
     * @param name the name, see {@link NamedId}
     * @throws org.azurearch.errors.AzurearchException if the name is malformed
     */
    public static ServiceId fromString(String name) {
        return new ServiceId(name);
    }
}
