package org.azurearch.lib;

/** Identifies a data centre. */
public final class DataCentreId extends NamedId {
    private DataCentreId(String name) {
        super(name);
    }

    /**
     * Parses an identifier.
     *
     * @param name the name, see {@link NamedId}
     * @throws org.azurearch.errors.AzurearchException if the name is malformed
     */
    public static DataCentreId fromString(String name) {
        return new DataCentreId(name);
    }
}
