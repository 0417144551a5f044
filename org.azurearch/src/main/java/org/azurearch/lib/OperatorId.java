package org.azurearch.lib;

/** Identifies the operator who published a change. */
public final class OperatorId extends NamedId {
    private OperatorId(String name) {
        super(name);
    }

    /**
     * Parses an identifier.
     *
     * @param name the name, see {@link NamedId}
     * @throws org.azurearch.errors.AzurearchException if the name is malformed
     */
    public static OperatorId fromString(String name) {
        return new OperatorId(name);
    }
}
