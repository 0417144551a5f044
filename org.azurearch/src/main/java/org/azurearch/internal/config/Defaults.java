package org.azurearch.internal.config;

import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.azurearch.config.SiteConfig;
import org.azurearch.yaml.YamlEntry;
import org.azurearch.yaml.YamlMapping;
import org.azurearch.yaml.YamlReader;

/** Adds default values to limits and entries and puts their fields in printing order. */
final class Defaults {
    /** The file name in the location of a default. */
    static final String FILE = "default";

    /** The key of the limits. */
    static final String LIMITS = "limits";

    private static final List<String> LIMIT_FIELDS = List.of("callsPerSecond", "share");
    private static final YamlMapping DEFAULTS = read();

    private Defaults() {}

    /** Returns limits with their defaults. */
    static YamlMapping limits(YamlMapping limits) {
        return ordered(override(DEFAULTS.mapping(LIMITS), limits), LIMIT_FIELDS);
    }

    /** Returns an entry with the defaults of its section. */
    static YamlEntry entry(Section section, YamlEntry entry) {
        YamlMapping fields = override(DEFAULTS.mapping(section.key()), (YamlMapping) entry.value());
        return new YamlEntry(entry.key(), entry.location(), ordered(fields, section.fields()));
    }

    /** Returns the fields of both mappings; those of {@code upper} take precedence. */
    static YamlMapping override(YamlMapping lower, YamlMapping upper) {
        Map<String, YamlEntry> fields = new LinkedHashMap<>(lower.entries());
        fields.putAll(upper.entries());
        return new YamlMapping(fields, upper.location());
    }

    private static YamlMapping ordered(YamlMapping mapping, List<String> order) {
        Map<String, YamlEntry> fields = new LinkedHashMap<>();
        for (String key : order) {
            YamlEntry entry = mapping.entries().get(key);
            if (entry != null) {
                fields.put(key, entry);
            }
        }
        return new YamlMapping(fields, mapping.location());
    }

    private static YamlMapping read() {
        try (InputStream input = SiteConfig.class.getResourceAsStream("defaults.yaml")) {
            if (input == null) {
                throw new IllegalStateException("missing resource defaults.yaml");
            }
            return YamlReader.readMapping(FILE, input.readAllBytes());
        } catch (IOException e) {
            throw new IllegalStateException("cannot read the resource defaults.yaml", e);
        }
    }
}
