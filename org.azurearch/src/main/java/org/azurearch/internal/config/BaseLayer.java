package org.azurearch.internal.config;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.azurearch.config.ClassConfig;
import org.azurearch.config.PolicyConfig;
import org.azurearch.config.RouteConfig;
import org.azurearch.config.ServiceConfig;
import org.azurearch.yaml.YamlEntry;
import org.azurearch.yaml.YamlMapping;

/**
 * A base with its defaults and a cache of its compiled entries. All sites share them, so that
 * validating a site only compiles the entries that its overlay changes.
 */
public final class BaseLayer {
    private final ParsedDocument mDocument;
    private final YamlMapping mWithDefaults;
    private final EntryCache<ClassConfig> mClasses = cache(Section.CLASSES);
    private final EntryCache<PolicyConfig> mPolicies = cache(Section.POLICIES);
    private final EntryCache<ServiceConfig> mServices = cache(Section.SERVICES);
    private final EntryCache<RouteConfig> mRoutes = cache(Section.ROUTES);

    /** Creates the layer of a base. */
    public BaseLayer(ParsedDocument base) {
        mDocument = base;
        YamlMapping root = base.root();
        Map<String, YamlEntry> withDefaults = new LinkedHashMap<>();
        YamlMapping limits = Defaults.limits(root.mapping(Defaults.LIMITS));
        withDefaults.put(
                Defaults.LIMITS, new YamlEntry(Defaults.LIMITS, limits.location(), limits));
        for (Section section : Section.values()) {
            YamlMapping given = root.mapping(section.key());
            Map<String, YamlEntry> entries = new TreeMap<>();
            given.entries()
                    .forEach((key, entry) -> entries.put(key, Defaults.entry(section, entry)));
            YamlMapping value = new YamlMapping(entries, given.location());
            withDefaults.put(section.key(), new YamlEntry(section.key(), given.location(), value));
        }
        mWithDefaults = new YamlMapping(withDefaults, root.location());
    }

    /** Returns the base as it was parsed. */
    public ParsedDocument document() {
        return mDocument;
    }

    /** Returns the limits and the sections, with defaults and entries sorted by key. */
    YamlMapping withDefaults() {
        return mWithDefaults;
    }

    /** Returns the cache of compiled classes. */
    EntryCache<ClassConfig> classes() {
        return mClasses;
    }

    /** Returns the cache of compiled policies. */
    EntryCache<PolicyConfig> policies() {
        return mPolicies;
    }

    /** Returns the cache of compiled services. */
    EntryCache<ServiceConfig> services() {
        return mServices;
    }

    /** Returns the cache of compiled routes. */
    EntryCache<RouteConfig> routes() {
        return mRoutes;
    }

    private <V> EntryCache<V> cache(Section section) {
        return new EntryCache<>(
                entry -> mWithDefaults.mapping(section.key()).entries().get(entry.key()) == entry);
    }
}
