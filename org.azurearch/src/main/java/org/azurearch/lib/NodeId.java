package org.azurearch.lib;

/** Identifies a node; it stays the same when the process restarts. */
public final class NodeId extends NamedId {
    private NodeId(String name) {
        super(name);
    }

    /**
     * Parses an identifier.
     *
     * @param name the name, see {@link NamedId}
     * @throws org.azurearch.errors.AzurearchException if the name is malformed
     */
    public static NodeId fromString(String name) {
        return new NodeId(name);
    }
}
