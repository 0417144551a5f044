package org.azurearch.lib;

/** Identifies a change; chosen by the publisher, so that a repeated append is detected. */
public final class ChangeId extends NamedId {
    private ChangeId(String name) {
        super(name);
    }

    /**
     * Parses an identifier.
     *
     * @param name the name, see {@link NamedId}
     * @throws org.azurearch.errors.AzurearchException if the name is malformed
     */
    public static ChangeId fromString(String name) {
        return new ChangeId(name);
    }
}
