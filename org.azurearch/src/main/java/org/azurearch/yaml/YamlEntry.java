package org.azurearch.yaml;

import org.azurearch.errors.SourceLocation;

/**
 * An entry of a mapping.
 *
 * @param key the key
 * @param location where the key is
 * @param value the value
 */
public record YamlEntry(String key, SourceLocation location, YamlNode value) {}
