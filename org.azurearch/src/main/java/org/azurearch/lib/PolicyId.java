package org.azurearch.lib;

/** Identifies a call policy within a firm. */
public final class PolicyId extends NamedId {
    private PolicyId(String name) {
        super(name);
    }

    /**
     * Parses an identifier.
     *
     * @param name the name, see {@link NamedId}
     * @throws org.azurearch.errors.AzurearchException if the name is malformed
     */
    public static PolicyId fromString(String name) {
        return new PolicyId(name);
    }
}
