package org.azurearch.internal.config;

import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.azurearch.errors.Problem;
import org.azurearch.yaml.YamlEntry;

/**
 * Caches the compiled entries of one section of a base, by entry identity; thread-safe.
 *
 * @param <V> the compiled form
 */
final class EntryCache<V> {
    private final EntryFilter mBaseEntries;
    private final Map<YamlEntry, V> mCompiled =
            Collections.synchronizedMap(new IdentityHashMap<>());

    /** Selects the entries that belong to the base. */
    interface EntryFilter {
        boolean contains(YamlEntry entry);
    }

    /**
     * Creates a cache.
     *
     * @param baseEntries selects the entries of the base; others are compiled each time
     */
    EntryCache(EntryFilter baseEntries) {
        mBaseEntries = baseEntries;
    }

    /**
     * Returns the compiled form of an entry; cached if it belongs to the base and has no problem.
     *
     * @param problems receives the problems that compiling finds
     */
    V get(YamlEntry entry, List<Problem> problems, Supplier<V> compile) {
        V cached = mCompiled.get(entry);
        if (cached != null) {
            return cached;
        }
        int problemsBefore = problems.size();
        V compiled = compile.get();
        if (problems.size() == problemsBefore && mBaseEntries.contains(entry)) {
            mCompiled.put(entry, compiled);
        }
        return compiled;
    }
}
