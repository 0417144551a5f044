package org.azurearch.yaml;

import org.azurearch.errors.SourceLocation;

/** A node of a YAML document; immutable. */
public sealed interface YamlNode permits YamlMapping, YamlList, YamlScalar {
    /** Returns where the node starts. */
    SourceLocation location();

    /** Returns a description of the value for messages, such as {@code a list}. */
    String description();
}
