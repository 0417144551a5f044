package org.azurearch.yaml;

import org.azurearch.errors.SourceLocation;

/** A node of a YAML document; immutable. */
public sealed interface YamlNode permits YamlMapping, YamlList, YamlScalar {
    /** Returns where the node starts. */
    SourceLocation location();

    /** Returns what kind of value it is, in words for a message. */
    String description();
}
