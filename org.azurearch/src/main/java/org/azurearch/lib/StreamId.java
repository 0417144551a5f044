package org.azurearch.lib;

/** Identifies a stream of the platform's log. */
public final class StreamId extends NamedId {
    private StreamId(String name) {
        super(name);
    }

    /**
     * Parses an identifier.
     *
     * @param name the name, see {@link NamedId}
     * @throws org.azurearch.errors.AzurearchException if the name is malformed
     */
    public static StreamId fromString(String name) {
        return new StreamId(name);
    }
}
