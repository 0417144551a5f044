package org.azurearch.lib;

/** Identifies a class of calls within a firm. */
public final class ClassId extends NamedId {
    private ClassId(String name) {
        super(name);
    }

    /**
     * Parses an identifier.
     *
     * @param name the name, see {@link NamedId}
     * @throws org.azurearch.errors.AzurearchException if the name is malformed
     */
    public static ClassId fromString(String name) {
        return new ClassId(name);
    }
}
