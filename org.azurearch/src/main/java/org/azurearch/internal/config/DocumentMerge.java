package org.azurearch.internal.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.Problem;
import org.azurearch.errors.SourceLocation;
import org.azurearch.yaml.YamlEntry;
import org.azurearch.yaml.YamlList;
import org.azurearch.yaml.YamlMapping;
import org.azurearch.yaml.YamlNode;
import org.azurearch.yaml.YamlScalar;
import org.jspecify.annotations.Nullable;

/**
 * Merges an overlay over a base, field by field under the same keys. Every value keeps its source
 * location. Entries that the overlay does not change stay the same objects, so that {@link
 * EntryCache} finds them.
 */
public final class DocumentMerge {
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
     * @param problems receives the problems found
     * @return the limits and the sections in their order, with entries sorted by key
     */
    public static YamlMapping merge(
            BaseLayer base, @Nullable ParsedDocument overlay, List<Problem> problems) {
        return overlay == null
                ? base.withDefaults()
                : new DocumentMerge(base.withDefaults(), overlay.root(), problems).merged();
    }

    private YamlMapping merged() {
        Map<String, YamlEntry> sections = new LinkedHashMap<>();
        YamlMapping limits = mBase.mapping(Defaults.LIMITS);
        put(
                sections,
                Defaults.LIMITS,
                Defaults.override(limits, mOverlay.mapping(Defaults.LIMITS)));
        for (Section section : Section.values()) {
            put(sections, section.key(), mergedSection(section));
        }
        return new YamlMapping(sections, mBase.location());
    }

    private void put(Map<String, YamlEntry> sections, String key, YamlMapping value) {
        sections.put(key, new YamlEntry(key, value.location(), value));
    }

    private YamlMapping mergedSection(Section section) {
        YamlMapping base = mBase.mapping(section.key());
        YamlMapping overlay = mOverlay.mapping(section.key());
        Map<String, YamlEntry> entries = new TreeMap<>(base.entries());
        removeEntries(section, entries);
        for (YamlEntry entry : overlay.entries().values()) {
            YamlEntry baseEntry = entries.get(entry.key());
            entries.put(
                    entry.key(),
                    baseEntry == null
                            ? Defaults.entry(section, entry)
                            : mergedEntry(baseEntry, entry));
        }
        return new YamlMapping(entries, base.location());
    }

    private void removeEntries(Section section, Map<String, YamlEntry> entries) {
        YamlNode names = mOverlay.mapping("remove").value(section.key()).orElse(null);
        if (!(names instanceof YamlList list)) {
            return;
        }
        for (YamlNode item : list.items()) {
            String name = ((YamlScalar) item).text();
            String path = section.key() + "." + name;
            if (mOverlay.mapping(section.key()).value(name).isPresent()) {
                addProblem(item.location(), "the overlay both sets and removes " + path);
            } else if (entries.remove(name) == null) {
                addProblem(
                        item.location(), "the overlay removes " + path + ", which the base lacks");
            }
        }
    }

    private void addProblem(SourceLocation location, String message) {
        mProblems.add(new Problem(ErrorCode.BAD_OVERLAY, location, message));
    }

    private static YamlEntry mergedEntry(YamlEntry base, YamlEntry overlay) {
        YamlMapping fields =
                Defaults.override((YamlMapping) base.value(), (YamlMapping) overlay.value());
        return new YamlEntry(base.key(), base.location(), fields);
    }
}
