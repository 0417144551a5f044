package org.azurearch.yaml;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.azurearch.errors.SourceLocation;

/**
 * A mapping with text keys.
 *
 * @param entries the entries by key, in the order of the document
 * @param location where it starts
 */
public record YamlMapping(Map<String, YamlEntry> entries, SourceLocation location)
        implements YamlNode {
    /** Takes a copy of the entries that keeps their order. */
    public YamlMapping {
        entries = Collections.unmodifiableMap(new LinkedHashMap<>(entries));
    }

    /** Returns a mapping without entries. */
    public static YamlMapping empty(SourceLocation location) {
        return new YamlMapping(Map.of(), location);
    }

    /** Returns the value of a key. */
    public Optional<YamlNode> value(String key) {
        return Optional.ofNullable(entries.get(key)).map(YamlEntry::value);
    }

    /** Returns the scalar value of a key as text; empty if absent, null or not a scalar. */
    public Optional<String> text(String key) {
        return value(key)
                .filter(node -> node instanceof YamlScalar scalar && scalar.value() != null)
                .map(node -> ((YamlScalar) node).text());
    }

    /** Returns the nested mapping of a key; an empty one if absent or not a mapping. */
    public YamlMapping mapping(String key) {
        return value(key)
                .filter(YamlMapping.class::isInstance)
                .map(YamlMapping.class::cast)
                .orElseGet(() -> empty(location));
    }

    @Override
    public String description() {
        return "a mapping";
    }
}
