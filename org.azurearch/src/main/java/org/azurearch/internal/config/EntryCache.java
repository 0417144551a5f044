package org.azurearch.internal.config;

import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.azurearch.errors.Problem;
import org.azurearch.yaml.YamlEntry;

/**
 * Compiled entries of one section of a base, by the entry object itself.
 *
 * @param <V> the compiled form
 */
final class EntryCache<V> {
    private final EntryFilter mBaseEntries;
    private final Map<YamlEntry, V> mCompiled =
            Collections.synchronizedMap(new IdentityHashMap<>());

    /** Says which entries belong to the base. */
    interface EntryFilter {
        boolean contains(YamlEntry entry);
    }

    /**
     * Creates a cache.
     *
     * @param baseEntries the entries of the base; others are compiled each time
     */
    EntryCache(EntryFilter baseEntries) {
        mBaseEntries = baseEntries;
    }

    /**
     * Returns the compiled form of an entry; kept when it is of the base and has no problem.
     *
     * @param problems takes the problems that compiling finds
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
