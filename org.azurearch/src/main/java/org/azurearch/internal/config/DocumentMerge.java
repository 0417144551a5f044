package org.azurearch.internal.config;

import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.azurearch.config.SiteConfig;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.Problem;
import org.azurearch.errors.SourceLocation;
import org.azurearch.yaml.YamlEntry;
import org.azurearch.yaml.YamlList;
import org.azurearch.yaml.YamlMapping;
import org.azurearch.yaml.YamlNode;
import org.azurearch.yaml.YamlReader;
import org.azurearch.yaml.YamlScalar;
import org.jspecify.annotations.Nullable;

/**
 * Merges an overlay over a base, field by field under the same keys, and fills in defaults. Every
 * value keeps the place that set it.
 */
public final class DocumentMerge {
    /** The file name in the location of a default. */
    public static final String DEFAULTS_FILE = "default";

    private static final String LIMITS = "limits";
    private static final List<String> LIMIT_FIELDS = List.of("callsPerSecond", "share");
    private static final YamlMapping DEFAULTS = defaults();

    private final YamlMapping mBase;
    private final YamlMapping mOverlay;
    private final List<Problem> mProblems;

    private DocumentMerge(YamlMapping base, YamlMapping overlay, List<Problem> problems) {
        mBase = base;
        mOverlay = overlay;
        mProblems = problems;
    }

    /**
     * Merges a base and the overlay of one site.
     *
     * @param base the base
     * @param overlay the overlay, or null for a site without one
     * @param problems takes the problems found
     * @return the limits and the sections in their order, with entries sorted by key
     */
    public static YamlMapping merge(
            ParsedDocument base, @Nullable ParsedDocument overlay, List<Problem> problems) {
        YamlMapping over =
                overlay == null ? YamlMapping.empty(base.root().location()) : overlay.root();
        return new DocumentMerge(base.root(), over, problems).merged();
    }

    private YamlMapping merged() {
        Map<String, YamlEntry> sections = new LinkedHashMap<>();
        YamlMapping limits =
                fields(DEFAULTS.mapping(LIMITS), mBase.mapping(LIMITS), mOverlay.mapping(LIMITS));
        put(sections, LIMITS, ordered(limits, LIMIT_FIELDS));
        for (Section section : Section.values()) {
            put(sections, section.key(), section(section));
        }
        return new YamlMapping(sections, mBase.location());
    }

    private void put(Map<String, YamlEntry> sections, String key, YamlMapping value) {
        sections.put(key, new YamlEntry(key, value.location(), value));
    }

    private YamlMapping section(Section section) {
        YamlMapping base = mBase.mapping(section.key());
        YamlMapping overlay = mOverlay.mapping(section.key());
        Map<String, YamlEntry> entries = new TreeMap<>(base.entries());
        remove(section, entries);
        overlay.entries().forEach((key, entry) -> entries.merge(key, entry, this::over));
        entries.replaceAll((key, entry) -> withDefaults(section, entry));
        return new YamlMapping(entries, base.location());
    }

    private void remove(Section section, Map<String, YamlEntry> entries) {
        YamlNode names = mOverlay.mapping("remove").value(section.key()).orElse(null);
        if (!(names instanceof YamlList list)) {
            return;
        }
        for (YamlNode item : list.items()) {
            String name = ((YamlScalar) item).text();
            String what = section.key() + "." + name;
            if (mOverlay.mapping(section.key()).value(name).isPresent()) {
                refuse(item.location(), "the overlay both sets and removes " + what);
            } else if (entries.remove(name) == null) {
                refuse(item.location(), "the overlay removes " + what + ", which the base lacks");
            }
        }
    }

    private void refuse(SourceLocation location, String message) {
        mProblems.add(new Problem(ErrorCode.BAD_OVERLAY, location, message));
    }

    private YamlEntry over(YamlEntry base, YamlEntry overlay) {
        YamlMapping merged = fields((YamlMapping) base.value(), (YamlMapping) overlay.value());
        return new YamlEntry(base.key(), base.location(), merged);
    }

    private static YamlEntry withDefaults(Section section, YamlEntry entry) {
        YamlMapping whole = fields(DEFAULTS.mapping(section.key()), (YamlMapping) entry.value());
        return new YamlEntry(entry.key(), entry.location(), ordered(whole, section.fields()));
    }

    private static YamlMapping fields(YamlMapping... layers) {
        Map<String, YamlEntry> fields = new LinkedHashMap<>();
        for (YamlMapping layer : layers) {
            fields.putAll(layer.entries());
        }
        return new YamlMapping(fields, layers[layers.length - 1].location());
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

    private static YamlMapping defaults() {
        try (InputStream input = SiteConfig.class.getResourceAsStream("defaults.yaml")) {
            if (input == null) {
                throw new IllegalStateException("the program lacks its resource defaults.yaml");
            }
            return YamlReader.readMapping(DEFAULTS_FILE, input.readAllBytes());
        } catch (IOException e) {
            throw new IllegalStateException("cannot read the resource defaults.yaml", e);
        }
    }
}
